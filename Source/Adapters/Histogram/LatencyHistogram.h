#pragma once

#include "Model/MetricsSnapshot.h"

#include <absl/time/time.h>
#include <boost/histogram.hpp>

namespace trefoilwing {

/// Durations from 100 us to 1000 s in buckets of equal width on a logarithmic scale, 20 to a decade.
class LatencyHistogram {
public:
    LatencyHistogram();

    void add(absl::Duration);

    absl::Duration sum() const { return sum_; }

    /// @return the buckets that hold values, lowest first.
    std::vector<LatencyBucket> buckets() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    // The counters grow from one byte as they need, so that most series stay small.
    using Histogram = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::unlimited_storage<>>;

    Histogram histogram_;
    absl::Duration sum_;
};

} // namespace trefoilwing
