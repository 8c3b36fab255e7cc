#pragma once

#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace trefoilwing {

/// Spreads the times at which rejected callers may retry, so that the work that returns at any time is no more than the
/// cell completes: each rejected job reserves capacity after those rejected before it. More urgent jobs reserve before
/// less urgent ones.
class RetrySchedule {
public:
    /// @param wait the time until capacity for the job is expected to be available.
    /// @param work the time that the cell needs for the job's work.
    /// @return the time after which to retry.
    absl::Duration reserve(uint32_t priority, absl::Duration wait, absl::Duration work, absl::Time now);

private:
    /// Number of priorities that are told apart; higher numbers count as the last.
    static constexpr size_t priorityCount = 8;

    /// The end of the capacity reserved by jobs of a priority and more urgent ones.
    std::array<absl::Time, priorityCount> reservedUntil_ {};
};

} // namespace trefoilwing
