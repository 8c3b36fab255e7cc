#pragma once

#include "Model/MetricsSnapshot.h"

#include <absl/time/time.h>
#include <boost/histogram.hpp>

namespace trefoilwing {

/// Histogram of durations from 100 us to 1000 s, with 20 buckets of equal logarithmic width per decade.
class LatencyHistogram {
public:
    LatencyHistogram();

    void add(absl::Duration);

    absl::Duration sum() const { return sum_; }

    /// @return the non-empty buckets, lowest first.
    std::vector<LatencyBucket> buckets() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    // The counters start at one byte and grow as needed, so that most series stay small.
    using Histogram = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::unlimited_storage<>>;

    Histogram histogram_;
    absl::Duration sum_;
};

} // namespace trefoilwing
