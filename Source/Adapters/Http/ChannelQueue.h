#pragma once

#include "Adapters/Http/MinionChannel.h"

#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

namespace trefoilwing {

/// The queue of channels that wait for a sender thread.
///
/// A channel is a suspect if its minion didn't answer the last post. Suspects get at most half of the senders, so
/// that hung minions don't delay the others, and always at least one, so that suspects don't starve.
class ChannelQueue {
public:
    using Channel = std::shared_ptr<MinionChannel>;

    explicit ChannelQueue(uint32_t senders)
        : maxBusySuspects_(senders > 1 ? senders / 2 : 1)
    {
    }

    /// @return false if the queue has been closed; the channel is then not queued.
    bool push(Channel);

    /// Blocks until a channel is available or the queue is closed.
    /// @param wasSuspect whether the channel that this sender popped before was a suspect at that time.
    /// @param isSuspect set to whether the popped channel is a suspect.
    /// @return the channel, or null once the queue has been closed.
    Channel pop(bool wasSuspect, bool& isSuspect);

    /// Wakes all senders.
    /// @return the channels that were still queued.
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
