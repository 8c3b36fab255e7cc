#include "Placement/MinionHealth.h"

#include <algorithm>

namespace trefoilwing {

void MinionHealth::worked()
{
    failures_ = 0;
    isOnTrial_ = false;
    ejection_ = absl::ZeroDuration();
}

void MinionHealth::failed(absl::Time now)
{
    ++failures_;
    if (failures_ < policy_.failuresToEject && !isOnTrial_)
        return;
    ejection_ = std::clamp(ejection_ * 2, policy_.firstEjection, policy_.longestEjection);
    ejectedUntil_ = now + ejection_;
    isOnTrial_ = true;
}

void MinionHealth::reached()
{
    misses_ = 0;
    retryDelay_ = absl::ZeroDuration();
    retryAt_ = absl::InfinitePast();
}

void MinionHealth::missed(absl::Time now)
{
    ++misses_;
    if (isReachable())
        return;
    retryDelay_ = std::clamp(retryDelay_ * 2, policy_.firstRetry, policy_.longestRetry);
    retryAt_ = now + retryDelay_;
}

} // namespace trefoilwing
