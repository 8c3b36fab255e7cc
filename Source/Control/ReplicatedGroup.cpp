#include "Control/ReplicatedGroup.h"

#include <algorithm>
#include <utility>

namespace trefoilwing {

namespace {

    /// Interval at which proposals that haven't been applied are repeated; a new leader gets them at once.
    constexpr absl::Duration retryInterval = absl::Seconds(1);

} // namespace

ReplicatedGroup::ReplicatedGroup(LogSettings settings, JournalContent content, GroupPorts ports)
    : ports_(ports)
    , log_(std::move(settings), std::move(content), ports.random, ports.clock.now())
{
}

void ReplicatedGroup::receive(const LogMessage& message)
{
    const absl::Time time = now();
    {
        MutexLock lock(mutex_);
        if (failure_)
            return;
        log_.receive(message, time);
        processOutbox();
    }
    flush();
}

void ReplicatedGroup::wake()
{
    const absl::Time time = now();
    {
        MutexLock lock(mutex_);
        if (failure_)
            return;
        log_.tick(time);
        // This detects a change of leader, so that operations that waited for a leader are proposed below at once.
        processOutbox();
        if (time >= retryDue_) {
            retryDue_ = time + retryInterval;
            retryPending(time);
        }
        processOutbox();
    }
    flush();
}

absl::Time ReplicatedGroup::nextWakeup() const
{
    MutexLock lock(mutex_);
    return failure_ ? absl::InfiniteFuture() : std::min(log_.nextWakeup(), retryDue_);
}

bool ReplicatedGroup::removeDaemon(const DaemonId& daemon)
{
    const absl::Time time = now();
    bool isRemoved = false;
    {
        MutexLock lock(mutex_);
        isRemoved = !failure_ && log_.removeDaemon(daemon, time);
        processOutbox();
    }
    flush();
    return isRemoved;
}

GroupState ReplicatedGroup::status() const
{
    const absl::Time time = now();
    MutexLock lock(mutex_);
    return { log_.role(), isLeading(time), log_.leader(), log_.epoch(), log_.term(), log_.commitIndex(), log_.lastIndex(), log_.members(), log_.failedElections(), log_.lastFailedElection(), failure_ ? failure_->message : std::string() };
}

void ReplicatedGroup::synced(SyncToken token)
{
    const absl::Time time = now();
    {
        MutexLock lock(mutex_);
        failure_.reset();
        log_.synced(token, time);
        processOutbox();
    }
    flush();
}

void ReplicatedGroup::journalFailed(const Error& error)
{
    {
        MutexLock lock(mutex_);
        // A member that can't store anything must not answer; the other members continue without it.
        failure_ = error;
        failPending(error);
    }
    flush();
}

bool ReplicatedGroup::propose(Command command, absl::Time now)
{
    return !failure_ && log_.propose(std::move(command), now);
}

void ReplicatedGroup::processOutbox()
{
    if (failure_) {
        failPending(*failure_);
        return;
    }
    LogOutbox outbox = log_.takeOutbox();
    applyOutbox(outbox);
    if (!log_.wantsSnapshot())
        return;
    log_.compact(snapshotState());
    outbox = log_.takeOutbox();
    applyOutbox(outbox);
}

void ReplicatedGroup::applyOutbox(LogOutbox& outbox)
{
    if (outbox.roleChanged)
        retryDue_ = absl::InfinitePast();
    if (outbox.restored)
        restoreState(*outbox.restored);
    for (const LogEntry& entry : outbox.committed)
        applyEntry(entry);
    // Batches go out first, so that the disk write overlaps with the network latency of the messages.
    for (JournalBatch& batch : outbox.batches)
        defer([this, batch = std::move(batch)] { ports_.journal->append(batch); });
    for (Envelope& envelope : outbox.messages)
        defer([this, envelope = std::move(envelope)] { ports_.peers.send(envelope.to, envelope.message); });
}

} // namespace trefoilwing
