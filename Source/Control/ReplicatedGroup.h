#pragma once

#include "Base/EffectQueue.h"
#include "Base/MutexLock.h"
#include "Control/ReplicatedLog.h"
#include "Ports/Clock.h"
#include "Ports/Journal.h"
#include "Ports/PeerLink.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace trefoilwing {

/// The ports that a group uses; all must outlive it.
struct GroupPorts {
    PeerLink& peers;
    Clock& clock;
    Random& random;
    /// Null for a member without a disk.
    Journal* journal = nullptr;
};

/// A snapshot of a group member's state, for status pages and logs.
struct GroupState {
    LogRole role = LogRole::Joining;
    bool isLeading = false;
    std::optional<MemberId> leader;
    Epoch epoch;
    Term term;
    LogIndex commitIndex;
    LogIndex lastIndex;
    std::vector<Member> members;
    /// Number of elections, pre-votes included, that this member has started without becoming the leader.
    uint64_t failedElections = 0;
    /// The answers in the last of them.
    ElectionTally lastFailedElection;
    /// Why this member's journal can't write; empty while it can.
    std::string failure;
};

/// A member of a group that replicates a state machine; one shard with its own lock.
///
/// Each call updates the state under the lock and queues its effects (messages, journal batches, callbacks).
/// The effects are carried out after the lock is released, in the order in which they were queued.
///
/// While its journal can't write, a member takes no part in the group: it neither sends nor handles messages, and fails
/// the operations that it is asked for. It takes part again once everything appended so far is synced.
class ReplicatedGroup : public JournalEvents {
public:
    ReplicatedGroup(LogSettings, JournalContent, GroupPorts);
    ~ReplicatedGroup() override = default;
    ReplicatedGroup(const ReplicatedGroup&) = delete;
    ReplicatedGroup& operator=(const ReplicatedGroup&) = delete;

    /// Handles a message of this group.
    void receive(const LogMessage&);

    /// Handles timers that are due. Call it at the start, then at each nextWakeup().
    void wake();

    /// @return when wake() has to be called next. Any other call may make this earlier.
    absl::Time nextWakeup() const;

    /// Removes a daemon that won't come back from the group.
    /// @return false if this member isn't the leader or another change of members is in progress.
    bool removeDaemon(const DaemonId&);

    GroupState status() const;

    void synced(SyncToken) override;
    void journalFailed(const Error&) override;

protected:
    using Effect = EffectQueue::Effect;

    virtual void applyEntry(const LogEntry&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) = 0;
    virtual void restoreState(const Snapshot&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) = 0;
    virtual std::vector<SnapshotChunk> snapshotState() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) = 0;
    /// Proposes pending operations again, and fails those whose time limit has passed.
    virtual void retryPending(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) = 0;
    /// Fails all pending operations with an error.
    virtual void failPending(const Error&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) = 0;

    bool propose(Command, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    /// Queues an effect to run after the lock is released.
    void defer(Effect effect) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) { effects_.add(std::move(effect)); }
    /// Completes the pending operations that satisfy the condition, and removes them from the list.
    /// @param answer the result or error that each callback receives.
    template <typename Pending, typename IsSettled, typename Answer>
    void completeWhere(std::vector<Pending>& pending, const IsSettled& isSettled, const Answer& answer) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
    {
        std::erase_if(pending, [&](Pending& each) ABSL_NO_THREAD_SAFETY_ANALYSIS {
            const bool isThis = isSettled(each);
            if (isThis)
                defer([done = std::move(each.done), answer] { done(answer); });
            return isThis;
        });
    }
    void addContact(const DaemonId& daemon) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) { log_.addDaemon(daemon); }
    bool isLeading(absl::Time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) { return !failure_ && log_.isLeader(now); }
    const Member& self() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) { return log_.self(); }
    /// Applies committed entries and queues the effects; the last step of each call under the lock.
    void processOutbox() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    /// Carries out the queued effects.
    void flush() ABSL_LOCKS_EXCLUDED(mutex_) { effects_.flush(); }
    absl::Time now() const { return ports_.clock.now(); }

    mutable absl::Mutex mutex_;

private:
    void applyOutbox(LogOutbox&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    GroupPorts ports_;
    ReplicatedLog log_ ABSL_GUARDED_BY(mutex_);
    EffectQueue effects_;
    /// The journal's last failure; empty while it writes.
    std::optional<Error> failure_ ABSL_GUARDED_BY(mutex_);
    absl::Time retryDue_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
};

} // namespace trefoilwing
