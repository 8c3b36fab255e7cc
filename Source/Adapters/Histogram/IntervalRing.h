#pragma once

#include "Model/MetricsSnapshot.h"

#include <absl/time/time.h>

#include <vector>

namespace trefoilwing {

/// Counts good and all requests in intervals of equal length; the oldest make room for new ones.
class IntervalRing {
public:
    /// @param step the length of one interval.
    /// @param size how many intervals are kept.
    IntervalRing(absl::Duration step, size_t size);

    void add(absl::Time now, uint64_t good, uint64_t total);

    /// @return the intervals that hold requests and aren't older than the ring is long, oldest first.
    std::vector<IntervalCount> intervals(absl::Time now) const;

    absl::Duration step() const { return step_; }

private:
    int64_t intervalAt(absl::Time) const;

    absl::Duration step_;
    std::vector<IntervalCount> slots_;
};

} // namespace trefoilwing
