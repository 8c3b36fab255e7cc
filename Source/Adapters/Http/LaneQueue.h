#pragma once

#include "Adapters/Http/MinionLane.h"

#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

namespace trefoilwing {

/// The lanes that wait for a sender thread.
///
/// Lanes of minions that didn't answer last time get at most half of the senders, so that hung minions
/// don't hold up the others, and always one, so that they aren't held up for good either.
class LaneQueue {
public:
    using Lane = std::shared_ptr<MinionLane>;

    explicit LaneQueue(uint32_t senders)
        : maxBusySuspects_(senders > 1 ? senders / 2 : 1)
    {
    }

    /// @return false where the queue has been closed; the lane then isn't taken.
    bool push(Lane);

    /// Waits for a lane.
    /// @param wasSuspect whether the lane that this sender popped last was a suspect then.
    /// @param isSuspect tells whether the popped one is.
    /// @return null once the queue has been closed.
    Lane pop(bool wasSuspect, bool& isSuspect);

    /// Wakes all senders.
    /// @return the lanes that still waited.
    std::vector<Lane> close();

private:
    bool hasNext() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    bool isSuspectNext() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    const uint32_t maxBusySuspects_;
    absl::Mutex mutex_;
    absl::CondVar changed_;
    std::deque<Lane> healthy_ ABSL_GUARDED_BY(mutex_);
    std::deque<Lane> suspects_ ABSL_GUARDED_BY(mutex_);
    uint32_t busySuspects_ ABSL_GUARDED_BY(mutex_) = 0;
    bool isClosed_ ABSL_GUARDED_BY(mutex_) = false;
};

} // namespace trefoilwing
