#include "Placement/RetrySchedule.h"

#include <algorithm>

namespace trefoilwing {

namespace {

    constexpr absl::Duration minRetryAfter = absl::Seconds(1);
    /// Forecasts of load don't reach further: bursts last for some seconds.
    constexpr absl::Duration maxRetryAfter = absl::Seconds(30);

} // namespace

absl::Duration RetrySchedule::reserve(uint32_t priority, absl::Duration wait, absl::Duration work, absl::Time now)
{
    const size_t own = std::min<size_t>(priority, priorityCount - 1);
    const absl::Time earliest = now + std::clamp(wait, minRetryAfter, maxRetryAfter);
    const absl::Time start = std::min(std::max(reservedUntil_[own], earliest), now + maxRetryAfter);
    reservedUntil_[own] = start + work;
    // The reservations of less urgent jobs move back by the same work.
    for (size_t each = own + 1; each < priorityCount; ++each)
        reservedUntil_[each] = std::max(reservedUntil_[each], earliest) + work;
    return start - now;
}

} // namespace trefoilwing
