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
#include <vector>

namespace trefoilwing {

/// What a group does through the ports; all outlive it.
struct GroupPorts {
    PeerLink& peers;
    Clock& clock;
    Random& random;
    /// Null for a member without a disk.
    Journal* journal = nullptr;
};

/// Where a member of a group stands, for status pages and logs.
struct GroupState {
    LogRole role = LogRole::Joining;
    bool isLeading = false;
    std::optional<MemberId> leader;
    Epoch epoch;
    Term term;
    LogIndex commitIndex;
    LogIndex lastIndex;
    std::vector<Member> members;
    bool hasFailed = false;
};

/// A replicated log with its state machine, as one shard under its own lock.
///
/// A call locks, decides and unlocks; then the effects go out through the ports, in the order of the
/// decisions and with no lock held.
class ReplicatedGroup : public JournalEvents {
public:
    ReplicatedGroup(LogSettings, JournalContent, GroupPorts);
    ~ReplicatedGroup() override = default;
    ReplicatedGroup(const ReplicatedGroup&) = delete;
    ReplicatedGroup& operator=(const ReplicatedGroup&) = delete;

    /// Takes a message of this group.
    void receive(const LogMessage&);

    /// Does what is due; call it first at the start, then at each nextWakeup().
    void wake();

    /// @return when wake() wants to be called next. Any call may bring it forward.
    absl::Time nextWakeup() const;

    /// Removes a daemon that won't come back.
    /// @return false where this member doesn't lead, or another change is under way.
    bool removeDaemon(const DaemonId&);

    GroupState status() const;

    void synced(SyncToken) override;
    void journalFailed(const Error&) override;

protected:
    using Effect = EffectQueue::Effect;

    virtual void applyEntry(const LogEntry&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) = 0;
    virtual void restoreState(const Snapshot&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) = 0;
    virtual std::vector<SnapshotChunk> snapshotState() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) = 0;
    /// Repeats what hasn't been applied, and gives up what is too old.
    virtual void repeatPending(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) = 0;
    /// Answers all that waits with an error.
    virtual void failPending(const Error&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) = 0;

    bool propose(Command, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    /// Runs after the lock is released.
    void later(Effect effect) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) { effects_.add(std::move(effect)); }
    /// Answers those that wait for the group and are settled, and takes them off the list.
    /// @param answer what each callback gets: a result or an error.
    template <typename Pending, typename IsSettled, typename Answer>
    void answerWhere(std::vector<Pending>& pending, const IsSettled& isSettled, const Answer& answer) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
    {
        std::erase_if(pending, [&](Pending& each) ABSL_NO_THREAD_SAFETY_ANALYSIS {
            const bool isThis = isSettled(each);
            if (isThis)
                later([done = std::move(each.done), answer] { done(answer); });
            return isThis;
        });
    }
    void addContact(const DaemonId& daemon) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) { log_.addDaemon(daemon); }
    bool isLeading(absl::Time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) { return !hasFailed_ && log_.isLeader(now); }
    const Member& self() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) { return log_.self(); }
    /// Applies what has been committed and collects the effects; the last step under the lock.
    void settle() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    /// Carries out the effects.
    void flush() ABSL_LOCKS_EXCLUDED(mutex_) { effects_.flush(); }
    absl::Time now() const { return ports_.clock.now(); }

    mutable absl::Mutex mutex_;

private:
    void applyOutbox(LogOutbox&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    GroupPorts ports_;
    ReplicatedLog log_ ABSL_GUARDED_BY(mutex_);
    EffectQueue effects_;
    bool hasFailed_ ABSL_GUARDED_BY(mutex_) = false;
    absl::Time repeatDue_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
};

} // namespace trefoilwing
