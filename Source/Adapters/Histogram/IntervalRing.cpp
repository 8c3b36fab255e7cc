#include "Adapters/Histogram/IntervalRing.h"

#include <algorithm>

namespace trefoilwing {

IntervalRing::IntervalRing(absl::Duration step, size_t size)
    : step_(step)
    , slots_(size)
{
}

int64_t IntervalRing::intervalAt(absl::Time time) const
{
    return (time - absl::UnixEpoch()) / step_;
}

void IntervalRing::add(absl::Time now, uint64_t good, uint64_t total)
{
    const int64_t interval = std::max<int64_t>(intervalAt(now), 0);
    IntervalCount& slot = slots_[static_cast<size_t>(interval) % slots_.size()];
    if (slot.interval != interval)
        slot = { interval, 0, 0 };
    slot.good += good;
    slot.total += total;
}

std::vector<IntervalCount> IntervalRing::intervals(absl::Time now) const
{
    const int64_t last = intervalAt(now);
    const int64_t first = last - static_cast<int64_t>(slots_.size()) + 1;
    std::vector<IntervalCount> kept;
    std::copy_if(slots_.begin(), slots_.end(), std::back_inserter(kept), [&](const IntervalCount& slot) {
        return (slot.total > 0 || slot.good > 0) && slot.interval >= first && slot.interval <= last;
    });
    std::sort(kept.begin(), kept.end(), [](const IntervalCount& a, const IntervalCount& b) { return a.interval < b.interval; });
    return kept;
}

} // namespace trefoilwing
