#pragma once

#include "Adapters/Http/HttpConnection.h"
#include "Base/MutexLock.h"
#include "Model/MinionBatches.h"

#include <absl/time/time.h>

#include <atomic>
#include <vector>

namespace trefoilwing {

/// What waits to be sent to one minion.
struct MinionWork {
    std::vector<TaskStart> starts;
    std::vector<CancelOrder> cancels;

    bool isEmpty() const { return starts.empty() && cancels.empty(); }
};

/// The queue and the connection to one run of a minion.
///
/// A lane is idle, or scheduled: waiting for a sender, or held by one. Only the sender that holds it posts,
/// so that a minion gets one post at a time, and all that is queued meanwhile goes into the next one.
class MinionLane {
public:
    MinionLane(ServiceId, MinionAddress, const HttpTimeouts&);

    const ServiceId& service() const { return service_; }
    const MinionAddress& address() const { return address_; }

    /// Queues work.
    /// @return whether the lane was idle, so that the caller has to schedule it.
    bool add(MinionWork);

    /// @return a bounded part of the queued work, oldest first.
    MinionWork take();

    /// Ends the sender's hold.
    /// @return whether work was queued meanwhile, so that the sender has to schedule the lane again.
    bool release();

    /// @return whether the lane is idle and has been since before the time.
    bool isIdleSince(absl::Time) const;

    /// Posts over the lane's connection and remembers whether the minion answered.
    PostOutcome post(const std::string& path, const std::string& body);

    /// @return whether the last post failed.
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
