#include "Adapters/Histogram/HistogramMetrics.h"

#include "Ports/MetricNames.h"

#include <absl/hash/hash.h>

#include <algorithm>

namespace trefoilwing {

HistogramMetrics::HistogramMetrics(const Clock& clock, size_t maxSeries)
    : clock_(clock)
    , maxSeries_(maxSeries)
{
}

HistogramMetrics::Shard& HistogramMetrics::shardOf(const MetricLabels& labels)
{
    return shards_[absl::Hash<MetricLabels>()(labels) % shards_.size()];
}

template <typename Map>
typename Map::mapped_type* HistogramMetrics::findOrAdd(Map& map, const typename Map::key_type& key)
{
    if (const auto found = map.find(key); found != map.end())
        return &found->second;
    if (series_.fetch_add(1) >= maxSeries_) {
        --series_;
        ++droppedValues_;
        return nullptr;
    }
    return &map[key];
}

void HistogramMetrics::count(std::string_view name, const MetricLabels& labels, uint64_t amount)
{
    {
        Shard& shard = shardOf(labels);
        const MutexLock lock(shard.mutex);
        if (uint64_t* counter = findOrAdd(shard.counters, { std::string(name), labels }))
            *counter += amount;
    }
    if (name == metric::requestsGood || name == metric::requestsTotal)
        countServiceLevel(name, labels, amount);
}

void HistogramMetrics::countServiceLevel(std::string_view name, const MetricLabels& labels, uint64_t amount)
{
    const MetricLabels owner { labels.service, labels.backer, {} };
    const uint64_t good = name == metric::requestsGood ? amount : 0;
    const uint64_t total = name == metric::requestsTotal ? amount : 0;
    const absl::Time now = clock_.now();
    Shard& shard = shardOf(owner);
    const MutexLock lock(shard.mutex);
    if (ServiceLevel* level = findOrAdd(shard.serviceLevels, owner)) {
        level->fine.add(now, good, total);
        level->coarse.add(now, good, total);
    }
}

void HistogramMetrics::observe(std::string_view name, const MetricLabels& labels, absl::Duration duration)
{
    Shard& shard = shardOf(labels);
    const MutexLock lock(shard.mutex);
    if (LatencyHistogram* histogram = findOrAdd(shard.latencies, { std::string(name), labels }))
        histogram->add(duration);
}

void HistogramMetrics::set(std::string_view name, const MetricLabels& labels, double value)
{
    Shard& shard = shardOf(labels);
    const MutexLock lock(shard.mutex);
    if (double* gauge = findOrAdd(shard.gauges, { std::string(name), labels }))
        *gauge = value;
}

MetricsSnapshot HistogramMetrics::snapshot() const
{
    MetricsSnapshot all;
    all.at = clock_.now();
    all.droppedValues = droppedValues_;
    for (const Shard& shard : shards_) {
        const MutexLock lock(shard.mutex);
        for (const auto& [key, value] : shard.counters)
            all.counters.push_back({ key.name, key.labels, value });
        for (const auto& [key, value] : shard.gauges)
            all.gauges.push_back({ key.name, key.labels, value });
        for (const auto& [key, histogram] : shard.latencies)
            all.latencies.push_back({ key.name, key.labels, histogram.sum(), histogram.buckets() });
        for (const auto& [owner, level] : shard.serviceLevels) {
            for (const IntervalRing* ring : { &level.fine, &level.coarse })
                all.serviceLevels.push_back({ owner.service, owner.backer, ring->step(), ring->intervals(all.at) });
        }
    }
    const auto byKey = [](const auto& a, const auto& b) { return std::tie(a.name, a.labels) < std::tie(b.name, b.labels); };
    std::sort(all.counters.begin(), all.counters.end(), byKey);
    std::sort(all.gauges.begin(), all.gauges.end(), byKey);
    std::sort(all.latencies.begin(), all.latencies.end(), byKey);
    std::sort(all.serviceLevels.begin(), all.serviceLevels.end(), [](const ServiceLevelSeries& a, const ServiceLevelSeries& b) {
        return std::tie(a.service, a.backer, a.step) < std::tie(b.service, b.backer, b.step);
    });
    return all;
}

} // namespace trefoilwing
