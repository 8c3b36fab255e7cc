#include "Ctl/ServiceLevelReport.h"

#include "Ports/MetricNames.h"

#include <algorithm>
#include <map>

namespace trefoilwing {

namespace {

    struct WindowSpan {
        const char* name;
        int64_t minutes;
    };
    constexpr std::array<WindowSpan, burnWindowCount> windowSpans { { { "5m", 5 }, { "1h", 60 }, { "6h", 360 } } };

    // Multi-window alerts: both windows must exceed the rate. The longer window shows that the burn is significant, the
    // shorter one that it is still going on.
    struct AlertRule {
        AlertState state;
        size_t longWindow;
        size_t shortWindow;
        double rate;
    };
    constexpr std::array<AlertRule, 2> alertRules { {
        { AlertState::Page, 1, 0, 14.4 },
        { AlertState::Warning, 2, 1, 6 },
    } };

    /// Intervals with at least this share of the busiest interval's requests belong to the peak.
    constexpr double peakThreshold = 0.8;

    constexpr absl::Duration coarseStep = absl::Minutes(1);

    bool covers(const MetricLabels& labels, const ServiceLevelRow& row)
    {
        return labels.service == row.service && (row.backer.value().empty() || labels.backer == row.backer);
    }

    /// @param kind selects the values of one kind; if empty, all values are used.
    std::vector<LatencyBucket> bucketsOf(const MetricsSnapshot& metrics, std::string_view name, const ServiceLevelRow& row, const TaskKindId& kind = {})
    {
        std::map<absl::Duration, uint64_t> counts;
        for (const LatencySample& sample : metrics.latencies) {
            if (sample.name != name || !covers(sample.labels, row) || (!kind.value().empty() && sample.labels.kind != kind))
                continue;
            for (const LatencyBucket& bucket : sample.buckets)
                counts[bucket.upper] += bucket.count;
        }
        std::vector<LatencyBucket> buckets;
        buckets.reserve(counts.size());
        for (const auto& [upper, count] : counts)
            buckets.push_back({ upper, count });
        return buckets;
    }

    uint64_t counterOf(const MetricsSnapshot& metrics, std::string_view name, const ServiceLevelRow& row)
    {
        uint64_t sum = 0;
        for (const CounterSample& sample : metrics.counters) {
            if (sample.name == name && covers(sample.labels, row))
                sum += sample.value;
        }
        return sum;
    }

    /// Sums the intervals of the row's backers.
    /// @param isCoarse selects the series with steps of a minute or more instead of the finer one.
    ServiceLevelSeries seriesOf(const MetricsSnapshot& metrics, const ServiceLevelRow& row, bool isCoarse)
    {
        ServiceLevelSeries sum { row.service, row.backer, coarseStep, {} };
        std::map<int64_t, IntervalCount> intervals;
        for (const ServiceLevelSeries& series : metrics.serviceLevels) {
            if ((series.step >= coarseStep) != isCoarse || !covers({ series.service, series.backer, {} }, row))
                continue;
            sum.step = series.step;
            for (const IntervalCount& count : series.intervals) {
                IntervalCount& slot = intervals[count.interval];
                slot = { count.interval, slot.good + count.good, slot.total + count.total };
            }
        }
        sum.intervals.reserve(intervals.size());
        for (const auto& [number, count] : intervals)
            sum.intervals.push_back(count);
        return sum;
    }

    BurnWindow burnOf(const ServiceLevelSeries& series, const WindowSpan& span, absl::Time now, double objective)
    {
        BurnWindow window { span.name, absl::Minutes(span.minutes), 0, 0, 0 };
        const absl::Time start = now - window.length;
        for (const IntervalCount& count : series.intervals) {
            if (absl::UnixEpoch() + count.interval * series.step <= start - series.step)
                continue;
            window.good += count.good;
            window.total += count.total;
        }
        if (window.total > 0) {
            const double bad = static_cast<double>(window.total - std::min(window.good, window.total));
            window.rate = bad / static_cast<double>(window.total) / (1 - objective);
        }
        return window;
    }

    AlertState alertOf(const std::array<BurnWindow, burnWindowCount>& windows)
    {
        for (const AlertRule& rule : alertRules) {
            if (windows[rule.longWindow].rate >= rule.rate && windows[rule.shortWindow].rate >= rule.rate)
                return rule.state;
        }
        return AlertState::Quiet;
    }

    std::optional<double> peakShareOf(const ServiceLevelSeries& series)
    {
        uint64_t busiest = 0;
        for (const IntervalCount& count : series.intervals)
            busiest = std::max(busiest, count.total);
        uint64_t good = 0;
        uint64_t total = 0;
        for (const IntervalCount& count : series.intervals) {
            if (static_cast<double>(count.total) < peakThreshold * static_cast<double>(busiest))
                continue;
            good += std::min(count.good, count.total);
            total += count.total;
        }
        if (total == 0)
            return std::nullopt;
        return static_cast<double>(good) / static_cast<double>(total);
    }

    /// Ratios are recorded in latency histograms, with one second standing for a ratio of 1.
    std::optional<double> ratioQuantile(const std::vector<LatencyBucket>& buckets, double share)
    {
        const std::optional<absl::Duration> duration = quantile(buckets, share);
        if (!duration)
            return std::nullopt;
        return absl::ToDoubleSeconds(*duration);
    }

    TaskKindId shortestKind(const ServiceDeclaration& service)
    {
        const auto shortest = std::min_element(service.kinds.begin(), service.kinds.end(), [](const TaskKindDeclaration& a, const TaskKindDeclaration& b) {
            return a.expectedRunTime < b.expectedRunTime;
        });
        return shortest == service.kinds.end() ? TaskKindId() : shortest->kind;
    }

    ServiceLevelRow rowOf(const ServiceDeclaration& service, const BackerId& backer, const MetricsSnapshot& metrics)
    {
        ServiceLevelRow row;
        row.service = service.service;
        row.backer = backer;
        row.objective = service.objective;
        row.minuteSeries = seriesOf(metrics, row, true);
        row.fineSeries = seriesOf(metrics, row, false);
        for (size_t i = 0; i < burnWindowCount; ++i)
            row.windows[i] = burnOf(row.minuteSeries, windowSpans[i], metrics.at, service.objective.share);
        row.alert = alertOf(row.windows);
        row.budgetBurnt = row.windows.back().rate;
        row.peakShare = peakShareOf(row.fineSeries);

        const std::vector<LatencyBucket> responses = bucketsOf(metrics, metric::requestLatency, row);
        row.responseP50 = quantile(responses, 0.5).value_or(absl::ZeroDuration());
        row.responseP99 = quantile(responses, 0.99).value_or(absl::ZeroDuration());
        const std::vector<LatencyBucket> ratios = bucketsOf(metrics, metric::responseOverIdeal, row);
        row.responseOverIdealP50 = ratioQuantile(ratios, 0.5);
        row.responseOverIdealP99 = ratioQuantile(ratios, 0.99);
        row.shortWaitP99 = quantile(bucketsOf(metrics, metric::queueWait, row, shortestKind(service)), 0.99);
        if (const uint64_t starts = counterOf(metrics, metric::taskStarts, row); starts > 0)
            row.wastedMessagesPerTask = static_cast<double>(counterOf(metrics, metric::wastedMessages, row)) / static_cast<double>(starts);
        return row;
    }

} // namespace

const char* alertName(AlertState state)
{
    constexpr std::array<const char*, 3> names { "quiet", "warning", "page" };
    return names.at(static_cast<size_t>(state));
}

std::optional<absl::Duration> quantile(const std::vector<LatencyBucket>& buckets, double share)
{
    uint64_t total = 0;
    for (const LatencyBucket& bucket : buckets)
        total += bucket.count;
    uint64_t below = 0;
    for (const LatencyBucket& bucket : buckets) {
        below += bucket.count;
        if (static_cast<double>(below) >= share * static_cast<double>(total))
            return bucket.upper;
    }
    return std::nullopt;
}

ServiceLevelReport makeReport(const Configuration& configuration, const MetricsSnapshot& metrics)
{
    ServiceLevelReport report { metrics.at, configuration.version, {} };
    for (const ServiceDeclaration& service : configuration.services) {
        report.rows.push_back(rowOf(service, {}, metrics));
        for (const BackerDeclaration& backer : service.backers)
            report.rows.push_back(rowOf(service, backer.backer, metrics));
    }
    return report;
}

} // namespace trefoilwing
