#include "Ctl/ReportText.h"

#include "Ctl/TextTable.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace trefoilwing {

std::string percentText(double share)
{
    return absl::StrFormat("%.4g%%", share * 100);
}

std::string rateText(double rate)
{
    return absl::StrFormat("%.3g", rate);
}

std::string durationText(absl::Duration duration)
{
    if (duration == absl::InfiniteDuration())
        return "> 1000s";
    return duration < absl::Seconds(1) ? absl::StrFormat("%.3gms", absl::ToDoubleMilliseconds(duration)) : absl::StrFormat("%.3gs", absl::ToDoubleSeconds(duration));
}

std::string ratioText(const std::optional<double>& ratio)
{
    return ratio ? absl::StrFormat("%.2f", *ratio) : "-";
}

void writeReportText(const ServiceLevelReport& report, std::ostream& out)
{
    out << "configuration " << report.configuration.value() << ", measured until " << absl::FormatTime("%Y-%m-%d %H:%M:%S", report.at, absl::UTCTimeZone()) << " UTC\n\n";
    TextTable burn({ "SERVICE", "BACKER", "OBJECTIVE", "REQUESTS 6h", "BUDGET BURNT", "BURN 5m", "1h", "6h", "ALERT" });
    TextTable quality({ "SERVICE", "BACKER", "RESPONSE p50", "p99", "OVER IDEAL p50", "p99", "WASTED/TASK", "CREST IN TIME", "SHORT WAIT p99" });
    for (const ServiceLevelRow& row : report.rows) {
        const std::string backer = row.backer.value().empty() ? "(all)" : row.backer.value();
        burn.add({ row.service.value(), backer, absl::StrCat(percentText(row.objective.share), " in ", durationText(row.objective.within)),
            absl::StrCat(row.windows.back().total), percentText(row.budgetBurnt),
            rateText(row.windows[0].rate), rateText(row.windows[1].rate), rateText(row.windows[2].rate), alertName(row.alert) });
        quality.add({ row.service.value(), backer, durationText(row.responseP50), durationText(row.responseP99),
            ratioText(row.responseOverIdealP50), ratioText(row.responseOverIdealP99), ratioText(row.wastedMessagesPerTask),
            row.peakShare ? percentText(*row.peakShare) : "-", row.shortWaitP99 ? durationText(*row.shortWaitP99) : "-" });
    }
    out << burn << "\n"
        << quality;
}

} // namespace trefoilwing
