#include "Ctl/MetricsMerge.h"

#include <algorithm>
#include <map>
#include <utility>

namespace trefoilwing {

namespace {

    using SeriesKey = std::pair<std::string, MetricLabels>;

    struct MergedLatency {
        absl::Duration sum;
        std::map<absl::Duration, uint64_t> buckets;
    };

    std::vector<CounterSample> mergeCounters(const std::vector<MetricsSnapshot>& snapshots)
    {
        std::map<SeriesKey, uint64_t> merged;
        for (const MetricsSnapshot& snapshot : snapshots) {
            for (const CounterSample& sample : snapshot.counters)
                merged[{ sample.name, sample.labels }] += sample.value;
        }
        std::vector<CounterSample> samples;
        samples.reserve(merged.size());
        for (const auto& [key, value] : merged)
            samples.push_back({ key.first, key.second, value });
        return samples;
    }

    std::vector<LatencySample> mergeLatencies(const std::vector<MetricsSnapshot>& snapshots)
    {
        std::map<SeriesKey, MergedLatency> merged;
        for (const MetricsSnapshot& snapshot : snapshots) {
            for (const LatencySample& sample : snapshot.latencies) {
                MergedLatency& latency = merged[{ sample.name, sample.labels }];
                latency.sum += sample.sum;
                for (const LatencyBucket& bucket : sample.buckets)
                    latency.buckets[bucket.upper] += bucket.count;
            }
        }
        std::vector<LatencySample> samples;
        samples.reserve(merged.size());
        for (const auto& [key, latency] : merged) {
            LatencySample sample { key.first, key.second, latency.sum, {} };
            for (const auto& [upper, count] : latency.buckets)
                sample.buckets.push_back({ upper, count });
            samples.push_back(std::move(sample));
        }
        return samples;
    }

    std::vector<ServiceLevelSeries> mergeServiceLevels(const std::vector<MetricsSnapshot>& snapshots)
    {
        std::map<std::tuple<ServiceId, BackerId, absl::Duration>, std::map<int64_t, IntervalCount>> merged;
        for (const MetricsSnapshot& snapshot : snapshots) {
            for (const ServiceLevelSeries& series : snapshot.serviceLevels) {
                auto& intervals = merged[{ series.service, series.backer, series.step }];
                for (const IntervalCount& count : series.intervals) {
                    IntervalCount& sum = intervals[count.interval];
                    sum = { count.interval, sum.good + count.good, sum.total + count.total };
                }
            }
        }
        std::vector<ServiceLevelSeries> all;
        all.reserve(merged.size());
        for (const auto& [key, intervals] : merged) {
            ServiceLevelSeries series { std::get<0>(key), std::get<1>(key), std::get<2>(key), {} };
            for (const auto& [number, count] : intervals)
                series.intervals.push_back(count);
            all.push_back(std::move(series));
        }
        return all;
    }

} // namespace

MetricsSnapshot mergeSnapshots(const std::vector<MetricsSnapshot>& snapshots)
{
    MetricsSnapshot merged;
    merged.at = absl::InfinitePast();
    for (const MetricsSnapshot& snapshot : snapshots) {
        merged.at = std::max(merged.at, snapshot.at);
        merged.droppedValues += snapshot.droppedValues;
    }
    merged.counters = mergeCounters(snapshots);
    merged.latencies = mergeLatencies(snapshots);
    merged.serviceLevels = mergeServiceLevels(snapshots);
    return merged;
}

} // namespace trefoilwing
