#include "Ctl/ReportHtml.h"

#include "Ctl/ReportText.h"
#include "Ctl/SvgChart.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>

namespace trefoilwing {

namespace {

    constexpr const char* pageHead = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title><style>
body { font: 15px/1.45 system-ui, sans-serif; color: #222; background: #fff; max-width: 1080px; margin: 2em auto; padding: 0 1.5em; }
h1 { font-size: 1.5em; margin: 0; } h2 { font-size: 1.2em; margin: 2em 0 .4em; border-bottom: 1px solid #ddd; padding-bottom: .2em; }
p { margin: .3em 0 1em; color: #555; }
table { border-collapse: collapse; width: 100%; margin: .6em 0 1.4em; font-size: .9em; font-variant-numeric: tabular-nums; }
th, td { padding: .32em .6em; text-align: right; border-bottom: 1px solid #e8e8e8; white-space: nowrap; }
th { font-weight: 600; color: #555; vertical-align: bottom; white-space: normal; } th:first-child, td:first-child { text-align: left; }
tr.all td { font-weight: 600; background: #f7f7f7; }
.bar { display: inline-block; width: 90px; height: 9px; background: #eee; vertical-align: middle; margin-right: .5em; }
.bar i { display: block; height: 100%; background: #0072b2; } .bar i.over { background: #b00020; }
.quiet { color: #00694b; } .warning { color: #8a5a00; font-weight: 600; } .page { color: #b00020; font-weight: 700; }
svg { width: 100%; height: auto; margin: .4em 0 1em; font: 12px system-ui, sans-serif; fill: #444; }
svg .title { font-weight: 600; font-size: 13.5px; fill: #222; } svg .unit { fill: #666; }
</style></head><body>
)";

    /// Number of minutes over which the plotted burn rate is averaged.
    constexpr int64_t smoothingMinutes = 5;
    constexpr size_t maxLines = 7;

    double hoursBefore(const ServiceLevelSeries& series, int64_t interval, absl::Time now)
    {
        return absl::ToDoubleHours(absl::UnixEpoch() + interval * series.step - now);
    }

    std::string backerName(const ServiceLevelRow& row)
    {
        return row.backer.value().empty() ? "all backers" : row.backer.value();
    }

    std::string cell(const std::string& text)
    {
        return absl::StrCat("<td>", escapeHtml(text), "</td>");
    }

    std::string budgetCell(double burnt)
    {
        const double filled = std::clamp(burnt, 0.0, 1.0) * 100;
        return absl::StrCat("<td><span class=\"bar\"><i ", burnt > 1 ? "class=\"over\" " : "", absl::StrFormat("style=\"width:%.0f%%\"", filled), "></i></span>", percentText(burnt), "</td>");
    }

    std::string burnTable(const std::vector<const ServiceLevelRow*>& rows)
    {
        std::string out = "<table><tr><th>backer</th><th>requests in 6 h</th><th>error budget burnt</th><th>burn rate 5 min</th><th>1 h</th><th>6 h</th><th>alert</th></tr>\n";
        for (const ServiceLevelRow* row : rows) {
            absl::StrAppend(&out, row->backer.value().empty() ? "<tr class=\"all\">" : "<tr>", cell(backerName(*row)), cell(absl::StrCat(row->windows.back().total)), budgetCell(row->budgetBurnt));
            for (const BurnWindow& window : row->windows)
                absl::StrAppend(&out, cell(rateText(window.rate)));
            absl::StrAppend(&out, "<td class=\"", alertName(row->alert), "\">", alertName(row->alert), "</td></tr>\n");
        }
        return absl::StrCat(out, "</table>\n");
    }

    std::string qualityTable(const std::vector<const ServiceLevelRow*>& rows)
    {
        std::string out = "<table><tr><th>backer</th><th>response p50</th><th>p99</th><th>response over ideal p50</th><th>p99</th><th>wasted messages a task</th><th>in time at the crest</th><th>short tasks' wait p99</th></tr>\n";
        for (const ServiceLevelRow* row : rows) {
            absl::StrAppend(&out, row->backer.value().empty() ? "<tr class=\"all\">" : "<tr>", cell(backerName(*row)),
                cell(durationText(row->responseP50)), cell(durationText(row->responseP99)),
                cell(ratioText(row->responseOverIdealP50)), cell(ratioText(row->responseOverIdealP99)), cell(ratioText(row->wastedMessagesPerTask)),
                cell(row->peakShare ? percentText(*row->peakShare) : "-"));
            absl::StrAppend(&out, cell(row->shortWaitP99 ? durationText(*row->shortWaitP99) : "-"), "</tr>\n");
        }
        return absl::StrCat(out, "</table>\n");
    }

    /// @return the moving average of the burn rate, one point for each minute that had requests.
    SvgLine burnLine(const ServiceLevelRow& row, absl::Time now)
    {
        SvgLine line { backerName(row), {}, false };
        const std::vector<IntervalCount>& counts = row.minuteSeries.intervals;
        for (size_t i = 0; i < counts.size(); ++i) {
            uint64_t good = 0;
            uint64_t total = 0;
            for (size_t j = i + 1; j-- > 0 && counts[j].interval > counts[i].interval - smoothingMinutes;) {
                good += counts[j].good;
                total += counts[j].total;
            }
            if (total == 0)
                continue;
            const double bad = static_cast<double>(total - std::min(good, total)) / static_cast<double>(total);
            line.points.emplace_back(hoursBefore(row.minuteSeries, counts[i].interval, now), bad / (1 - row.objective.share));
        }
        return line;
    }

    std::string burnChart(const std::vector<const ServiceLevelRow*>& rows, absl::Time now)
    {
        SvgChart chart { "Burn rate over 6 hours", "times the rate that the objective allows, averaged over 5 min", -6, 0, 0.11, {}, { { "1: as the objective allows", 1 }, { "6: warning", 6 }, { "14.4: page", 14.4 } } };
        std::vector<const ServiceLevelRow*> worst = rows;
        std::stable_sort(worst.begin(), worst.end(), [](const auto* a, const auto* b) { return a->budgetBurnt > b->budgetBurnt; });
        for (const ServiceLevelRow* row : worst) {
            if (chart.lines.size() < maxLines)
                chart.lines.push_back(burnLine(*row, now));
        }
        return drawSvg(chart);
    }

    std::string requestsChart(const ServiceLevelRow& row, absl::Time now)
    {
        SvgChart chart { "Requests of all backers in the last hour", "requests a second, in steps of 5 s", -1, 0, 0.003, { { "all requests", {}, false }, { "failed or late", {}, true } }, {} };
        const double seconds = absl::ToDoubleSeconds(row.fineSeries.step);
        for (const IntervalCount& count : row.fineSeries.intervals) {
            const double x = hoursBefore(row.fineSeries, count.interval, now);
            chart.lines[0].points.emplace_back(x, static_cast<double>(count.total) / seconds);
            chart.lines[1].points.emplace_back(x, static_cast<double>(count.total - std::min(count.good, count.total)) / seconds);
        }
        return drawSvg(chart);
    }

    std::string serviceSection(const std::vector<const ServiceLevelRow*>& rows, absl::Time now)
    {
        const ServiceLevelRow& all = *rows.front();
        return absl::StrCat("<h2>", escapeHtml(all.service.value()), "</h2>\n<p>Objective: ", percentText(all.objective.share), " of requests answered whole within ", durationText(all.objective.within), ".</p>\n",
            burnTable(rows), burnChart(rows, now), qualityTable(rows), requestsChart(all, now));
    }

} // namespace

std::string reportHtml(const ServiceLevelReport& report)
{
    std::string out = absl::StrCat(pageHead, "<h1>Service-level burn</h1>\n<p>Measured until ", absl::FormatTime("%Y-%m-%d %H:%M:%S", report.at, absl::UTCTimeZone()), " UTC, configuration ", report.configuration.value(),
        ". A burn rate of 1 spends exactly the error budget that the objective allows. Page: 14.4 or more over 1 h and 5 min; warning: 6 or more over 6 h and 1 h.</p>\n");
    for (size_t begin = 0; begin < report.rows.size();) {
        std::vector<const ServiceLevelRow*> rows;
        for (; begin < report.rows.size() && (rows.empty() || report.rows[begin].service == rows.front()->service); ++begin)
            rows.push_back(&report.rows[begin]);
        absl::StrAppend(&out, serviceSection(rows, report.at));
    }
    return absl::StrCat(out, "</body></html>\n");
}

} // namespace trefoilwing
