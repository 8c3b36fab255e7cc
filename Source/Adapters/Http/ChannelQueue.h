#pragma once

#include "Adapters/Http/MinionChannel.h"

#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

namespace trefoilwing {

/// The channels that wait for a sender thread.
///
/// Channels of minions that didn't answer last time get at most half of the senders, so that hung minions
/// don't hold up the others, and always one, so that they aren't held up for good either.
class ChannelQueue {
public:
    using Channel = std::shared_ptr<MinionChannel>;

    explicit ChannelQueue(uint32_t senders)
        : maxBusySuspects_(senders > 1 ? senders / 2 : 1)
    {
    }

    /// @return false where the queue has been closed; the channel then isn't taken.
    bool push(Channel);

    /// Waits for a channel.
    /// @param wasSuspect whether the channel that this sender popped last was a suspect then.
    /// @param isSuspect tells whether the popped one is.
    /// @return null once the queue has been closed.
    Channel pop(bool wasSuspect, bool& isSuspect);

    /// Wakes all senders.
    /// @return the channels that still waited.
    std::vector<Channel> close();

private:
    bool hasNext() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    bool isSuspectNext() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    const uint32_t maxBusySuspects_;
    absl::Mutex mutex_;
    absl::CondVar changed_;
    std::deque<Channel> healthy_ ABSL_GUARDED_BY(mutex_);
    std::deque<Channel> suspects_ ABSL_GUARDED_BY(mutex_);
    uint32_t busySuspects_ ABSL_GUARDED_BY(mutex_) = 0;
    bool isClosed_ ABSL_GUARDED_BY(mutex_) = false;
};

} // namespace trefoilwing
