#pragma once

#include "Adapters/Wire/SendBudget.h"
#include "Base/MutexLock.h"
#include "Model/Units.h"

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <string>

namespace trefoilwing {

/// Bounded queue of the frames to send to one peer. When it is full, the oldest frames are dropped.
///
/// Any thread may push and drop frames; the link's thread takes them out.
class SendQueue {
public:
    /// @param budget counts the bytes of all queues of the process; it must outlive this.
    SendQueue(Bytes maxBytes, SendBudget& budget);
    ~SendQueue();

    /// @param oldest frames queued before this time are dropped.
    /// @return whether the queue was empty, so that the link's thread may have to be woken.
    bool push(std::string frame, absl::Time now, absl::Time oldest) ABSL_LOCKS_EXCLUDED(mutex_);

    /// Drops frames that were queued before this time.
    void dropBefore(absl::Time oldest) ABSL_LOCKS_EXCLUDED(mutex_);

    /// Drops the oldest frames until the budget isn't exceeded or the queue is empty.
    void dropUntilWithinBudget() ABSL_LOCKS_EXCLUDED(mutex_);

    /// @return the total size of the queued frames.
    Bytes queuedBytes() const ABSL_LOCKS_EXCLUDED(mutex_);

    /// Removes frames from the front: as many as fit into maxBytes, but at least one if there is any.
    /// @param oldest frames queued before this time are dropped.
    /// @return the concatenated frames.
    std::string take(size_t maxBytes, absl::Time oldest) ABSL_LOCKS_EXCLUDED(mutex_);

    /// @return the number of frames dropped so far.
    uint64_t dropped() const ABSL_LOCKS_EXCLUDED(mutex_);

    /// @return the number of frames taken so far.
    uint64_t taken() const ABSL_LOCKS_EXCLUDED(mutex_);

private:
    struct QueuedFrame {
        std::string frame;
        absl::Time queuedAt;
    };

    void dropExpired(absl::Time oldest) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void dropFront() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    const uint64_t maxBytes_;
    SendBudget& budget_;
    mutable absl::Mutex mutex_;
    std::deque<QueuedFrame> frames_ ABSL_GUARDED_BY(mutex_);
    uint64_t bytes_ ABSL_GUARDED_BY(mutex_) = 0;
    uint64_t dropped_ ABSL_GUARDED_BY(mutex_) = 0;
    uint64_t taken_ ABSL_GUARDED_BY(mutex_) = 0;
};

} // namespace trefoilwing
