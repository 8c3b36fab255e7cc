#pragma once

#include "Model/MetricsSnapshot.h"

#include <absl/time/time.h>

#include <vector>

namespace trefoilwing {

/// Counts good and all requests in intervals of equal length. New intervals overwrite the oldest ones.
class IntervalRing {
public:
    /// @param step the length of one interval.
    /// @param size the number of intervals kept.
    IntervalRing(absl::Duration step, size_t size);

    void add(absl::Time now, uint64_t good, uint64_t total);

    /// @return the intervals that contain requests and are among the latest `size` ones, oldest first.
    std::vector<IntervalCount> intervals(absl::Time now) const;

    absl::Duration step() const { return step_; }

private:
    int64_t intervalAt(absl::Time) const;

    absl::Duration step_;
    std::vector<IntervalCount> slots_;
};

} // namespace trefoilwing
