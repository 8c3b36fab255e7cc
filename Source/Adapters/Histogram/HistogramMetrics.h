#pragma once

#include "Adapters/Histogram/IntervalRing.h"
#include "Adapters/Histogram/LatencyHistogram.h"
#include "Base/MutexLock.h"
#include "Ports/Clock.h"
#include "Ports/Metrics.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <atomic>
#include <string>

namespace trefoilwing {

/// Keeps counters, gauges, latency histograms and the intervals of the service level in memory.
///
/// The series are divided into shards, each with its own lock. Values of series beyond the limit are dropped and counted.
class HistogramMetrics : public Metrics, public MetricsSource {
public:
    /// Default maximum number of series.
    static constexpr size_t defaultMaxSeries = 50000;

    /// @param clock assigns requests to the intervals of the service level; it must outlive this.
    explicit HistogramMetrics(const Clock& clock, size_t maxSeries = defaultMaxSeries);

    /// Counters requests_good and requests_total are also added to the intervals of their service and backer.
    void count(std::string_view name, const MetricLabels&, uint64_t amount) override;
    void observe(std::string_view name, const MetricLabels&, absl::Duration) override;
    void set(std::string_view name, const MetricLabels&, double value) override;

    MetricsSnapshot snapshot() const override;

private:
    struct SeriesKey {
        std::string name;
        MetricLabels labels;

        friend bool operator==(const SeriesKey&, const SeriesKey&) = default;

        template <typename H>
        friend H AbslHashValue(H state, const SeriesKey& key)
        {
            return H::combine(std::move(state), key.name, key.labels);
        }
    };

    /// The intervals of one backer of a service: 1 h in steps of 5 s for the peak, 6 h in steps of 1 min for windows.
    struct ServiceLevel {
        IntervalRing fine { absl::Seconds(5), 720 };
        IntervalRing coarse { absl::Minutes(1), 360 };
    };

    struct Shard {
        mutable absl::Mutex mutex;
        absl::flat_hash_map<SeriesKey, uint64_t> counters ABSL_GUARDED_BY(mutex);
        absl::flat_hash_map<SeriesKey, double> gauges ABSL_GUARDED_BY(mutex);
        absl::flat_hash_map<SeriesKey, LatencyHistogram> latencies ABSL_GUARDED_BY(mutex);
        absl::flat_hash_map<MetricLabels, ServiceLevel> serviceLevels ABSL_GUARDED_BY(mutex);
    };

    Shard& shardOf(const MetricLabels&);
    void countServiceLevel(std::string_view name, const MetricLabels&, uint64_t amount);
    /// @return the series, or null if the limit leaves no room for a new one.
    template <typename Map>
    typename Map::mapped_type* findOrAdd(Map&, const typename Map::key_type&);

    const Clock& clock_;
    const size_t maxSeries_;
    std::atomic<size_t> series_ { 0 };
    std::atomic<uint64_t> droppedValues_ { 0 };
    std::array<Shard, 16> shards_;
};

} // namespace trefoilwing
