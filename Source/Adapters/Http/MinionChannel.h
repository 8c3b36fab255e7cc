#pragma once

#include "Adapters/Http/HttpConnection.h"
#include "Base/MutexLock.h"
#include "Model/MinionBatches.h"

#include <absl/time/time.h>

#include <atomic>
#include <vector>

namespace trefoilwing {

/// Orders queued for one minion.
struct MinionWork {
    std::vector<TaskStart> starts;
    std::vector<CancelOrder> cancels;

    bool isEmpty() const { return starts.empty() && cancels.empty(); }
};

/// The send queue and the connection for one incarnation of a minion.
///
/// A channel is either idle or scheduled, that is, waiting for a sender thread or held by one. Only the sender that
/// holds it posts, so that a minion gets one post at a time and orders queued meanwhile are batched into the next.
class MinionChannel {
public:
    MinionChannel(ServiceId, MinionAddress, const HttpTimeouts&);

    const ServiceId& service() const { return service_; }
    const MinionAddress& address() const { return address_; }

    /// Queues orders.
    /// @return whether the channel was idle; the caller must then schedule it.
    bool add(MinionWork);

    /// Removes a limited number of the oldest orders from the queue.
    /// @return the removed orders.
    MinionWork take();

    /// Called by the sender that holds the channel, to release it.
    /// @return whether orders are still queued; the sender must then schedule the channel again.
    bool release();

    /// @return whether the channel is idle and was last used before the given time.
    bool isIdleSince(absl::Time) const;

    /// Posts over the channel's connection and records whether the minion answered.
    PostOutcome post(const std::string& path, const std::string& body);

    /// @return whether the last post got no answer.
    bool isSuspect() const { return isSuspect_; }

private:
    const ServiceId service_;
    const MinionAddress address_;
    HttpConnection connection_;
    std::atomic<bool> isSuspect_ { false };

    mutable absl::Mutex mutex_;
    MinionWork waiting_ ABSL_GUARDED_BY(mutex_);
    bool isScheduled_ ABSL_GUARDED_BY(mutex_) = false;
    absl::Time lastUse_ ABSL_GUARDED_BY(mutex_) = absl::InfiniteFuture();
};

} // namespace trefoilwing
