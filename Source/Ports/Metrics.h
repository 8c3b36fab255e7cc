#pragma once

#include "Model/Identifiers.h"

#include <absl/time/time.h>

#include <string_view>

namespace trefoilwing {

/// What a measured value belongs to; empty ids stand for "all".
struct MetricLabels {
    ServiceId service;
    BackerId backer;
    TaskKindId kind;
};

/// Counts events and records latencies.
class Metrics {
public:
    virtual ~Metrics() = default;

    virtual void count(std::string_view name, const MetricLabels&, uint64_t amount) = 0;
    virtual void observe(std::string_view name, const MetricLabels&, absl::Duration) = 0;
    virtual void set(std::string_view name, const MetricLabels&, double value) = 0;
};

} // namespace trefoilwing
