#pragma once

#include "Model/Identifiers.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace trefoilwing {

/// The labels of a measured value. An empty id means "all".
struct MetricLabels {
    ServiceId service;
    BackerId backer;
    TaskKindId kind;

    friend auto operator<=>(const MetricLabels&, const MetricLabels&) = default;
    friend bool operator==(const MetricLabels&, const MetricLabels&) = default;

    template <typename H>
    friend H AbslHashValue(H state, const MetricLabels& labels)
    {
        return H::combine(std::move(state), labels.service, labels.backer, labels.kind);
    }
};

/// The value of a counter since the daemon started.
struct CounterSample {
    std::string name;
    MetricLabels labels;
    uint64_t value = 0;

    friend bool operator==(const CounterSample&, const CounterSample&) = default;
};

/// The latest value of a gauge.
struct GaugeSample {
    std::string name;
    MetricLabels labels;
    double value = 0;

    friend bool operator==(const GaugeSample&, const GaugeSample&) = default;
};

/// One bucket of a latency histogram.
struct LatencyBucket {
    /// Exclusive upper bound of the values in the bucket; infinite for the last bucket.
    absl::Duration upper;
    uint64_t count = 0;

    friend bool operator==(const LatencyBucket&, const LatencyBucket&) = default;
};

/// A latency histogram since the daemon started. Empty buckets are left out.
struct LatencySample {
    std::string name;
    MetricLabels labels;
    absl::Duration sum;
    std::vector<LatencyBucket> buckets;

    friend bool operator==(const LatencySample&, const LatencySample&) = default;
};

/// The number of requests in one time interval.
struct IntervalCount {
    /// The number of the interval since the Unix epoch, in units of the series' step.
    int64_t interval = 0;
    uint64_t good = 0;
    uint64_t total = 0;

    friend bool operator==(const IntervalCount&, const IntervalCount&) = default;
};

/// The recent requests of one backer of a service, counted in intervals of equal length. Empty intervals are left out.
struct ServiceLevelSeries {
    ServiceId service;
    BackerId backer;
    absl::Duration step;
    std::vector<IntervalCount> intervals;

    friend bool operator==(const ServiceLevelSeries&, const ServiceLevelSeries&) = default;
};

/// All metrics of one daemon.
struct MetricsSnapshot {
    absl::Time at;
    std::vector<CounterSample> counters;
    std::vector<GaugeSample> gauges;
    std::vector<LatencySample> latencies;
    std::vector<ServiceLevelSeries> serviceLevels;
    /// Number of values dropped because the maximum number of series was reached.
    uint64_t droppedValues = 0;

    friend bool operator==(const MetricsSnapshot&, const MetricsSnapshot&) = default;
};

} // namespace trefoilwing
