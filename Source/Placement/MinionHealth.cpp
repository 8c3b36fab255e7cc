#include "Placement/MinionHealth.h"

#include <algorithm>

namespace trefoilwing {

void MinionHealth::runSucceeded()
{
    failures_ = 0;
    isOnProbation_ = false;
    ejection_ = absl::ZeroDuration();
}

void MinionHealth::runFailed(absl::Time now)
{
    ++failures_;
    if (failures_ < policy_.failuresToEject && !isOnProbation_)
        return;
    ejection_ = std::clamp(ejection_ * 2, policy_.initialEjection, policy_.maxEjection);
    ejectedUntil_ = now + ejection_;
    isOnProbation_ = true;
}

void MinionHealth::orderAnswered()
{
    unansweredOrders_ = 0;
    retryDelay_ = absl::ZeroDuration();
    retryAt_ = absl::InfinitePast();
}

void MinionHealth::orderUnanswered(absl::Time now)
{
    ++unansweredOrders_;
    if (isReachable())
        return;
    retryDelay_ = std::clamp(retryDelay_ * 2, policy_.initialRetryDelay, policy_.maxRetryDelay);
    retryAt_ = now + retryDelay_;
}

} // namespace trefoilwing
