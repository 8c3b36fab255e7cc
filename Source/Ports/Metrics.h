#pragma once

#include "Model/MetricsSnapshot.h"

#include <absl/time/time.h>

#include <string_view>

namespace trefoilwing {

/// Records counters, latencies and gauges.
class Metrics {
public:
    virtual ~Metrics() = default;

    virtual void count(std::string_view name, const MetricLabels&, uint64_t amount) = 0;
    virtual void observe(std::string_view name, const MetricLabels&, absl::Duration) = 0;
    virtual void set(std::string_view name, const MetricLabels&, double value) = 0;
};

/// Provides the recorded metrics for display and export.
class MetricsSource {
public:
    virtual ~MetricsSource() = default;

    virtual MetricsSnapshot snapshot() const = 0;
};

} // namespace trefoilwing
