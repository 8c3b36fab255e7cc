#pragma once

#include "Placement/DispatchPolicy.h"

#include <absl/time/time.h>

namespace trefoilwing {

/// Health check of one minion, based on the answers to its orders and the outcomes of its runs.
///
/// A minion that doesn't answer is retried with exponential backoff. A minion whose runs fail or stall is ejected for
/// a time that doubles with each ejection, and then gets one task at a time until a run succeeds.
class MinionHealth {
public:
    explicit MinionHealth(const DispatchPolicy& policy)
        : policy_(policy)
    {
    }

    /// Records a run that succeeded.
    void runSucceeded();
    /// Records a run that failed or stalled, of a task that has failed on no other minion.
    void runFailed(absl::Time now);
    /// Records an order that was answered.
    void orderAnswered();
    /// Records an order that wasn't answered.
    void orderUnanswered(absl::Time now);

    /// Whether an order may be sent: always to a reachable minion, and after the backoff to an unreachable one.
    bool maySendOrder(absl::Time now) const { return now >= retryAt_; }
    bool isReachable() const { return unansweredOrders_ < unansweredUntilUnreachable; }
    bool isEjected(absl::Time now) const { return now < ejectedUntil_; }
    /// Whether the minion was ejected and hasn't completed a run since; it then gets one task at a time.
    bool isOnProbation() const { return isOnProbation_; }

private:
    static constexpr uint32_t unansweredUntilUnreachable = 2;

    const DispatchPolicy& policy_;
    uint32_t unansweredOrders_ = 0;
    absl::Time retryAt_ = absl::InfinitePast();
    absl::Duration retryDelay_;
    uint32_t failures_ = 0;
    absl::Time ejectedUntil_ = absl::InfinitePast();
    absl::Duration ejection_;
    bool isOnProbation_ = false;
};

} // namespace trefoilwing
