#pragma once

#include "Model/Identifiers.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace trefoilwing {

/// What a measured value belongs to; empty ids stand for "all".
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

/// A counter's value since the daemon's start.
struct CounterSample {
    std::string name;
    MetricLabels labels;
    uint64_t value = 0;

    friend bool operator==(const CounterSample&, const CounterSample&) = default;
};

/// A gauge's latest value.
struct GaugeSample {
    std::string name;
    MetricLabels labels;
    double value = 0;

    friend bool operator==(const GaugeSample&, const GaugeSample&) = default;
};

/// One bucket of a latency histogram.
struct LatencyBucket {
    /// Values in it are below this; the last bucket's is infinite.
    absl::Duration upper;
    uint64_t count = 0;

    friend bool operator==(const LatencyBucket&, const LatencyBucket&) = default;
};

/// A histogram since the daemon's start. Empty buckets are left out.
struct LatencySample {
    std::string name;
    MetricLabels labels;
    absl::Duration sum;
    std::vector<LatencyBucket> buckets;

    friend bool operator==(const LatencySample&, const LatencySample&) = default;
};

/// The requests counted in one interval of time.
struct IntervalCount {
    /// The interval's number since 1970, in steps of the series.
    int64_t interval = 0;
    uint64_t good = 0;
    uint64_t total = 0;

    friend bool operator==(const IntervalCount&, const IntervalCount&) = default;
};

/// The latest requests of one backer of a service, by intervals of equal length. Empty ones are left out.
struct ServiceLevelSeries {
    ServiceId service;
    BackerId backer;
    absl::Duration step;
    std::vector<IntervalCount> intervals;

    friend bool operator==(const ServiceLevelSeries&, const ServiceLevelSeries&) = default;
};

/// All that one daemon has measured.
struct MetricsSnapshot {
    absl::Time at;
    std::vector<CounterSample> counters;
    std::vector<GaugeSample> gauges;
    std::vector<LatencySample> latencies;
    std::vector<ServiceLevelSeries> serviceLevels;
    /// Values that were dropped since the number of series is bounded.
    uint64_t droppedValues = 0;

    friend bool operator==(const MetricsSnapshot&, const MetricsSnapshot&) = default;
};

} // namespace trefoilwing
