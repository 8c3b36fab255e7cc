#include "Control/ReplicatedFleet.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace trefoilwing {

namespace {

    /// Maximum time that an operator's call waits for the group. Operators try another keeper after 1 s.
    constexpr absl::Duration callTimeout = absl::Milliseconds(2500);

    /// Maximum time for which an order to evacuate is proposed. Operators send an unanswered order to another keeper after
    /// 1 s, and may withdraw it there.
    constexpr absl::Duration evacuationTimeout = absl::Milliseconds(950);

    Error unavailable(std::string message)
    {
        return { ErrorCode::Unavailable, std::move(message), Verdict::MayHaveRun };
    }

} // namespace

ReplicatedFleet::ReplicatedFleet(DaemonRun self, LogSettings settings, JournalContent content, GroupPorts ports, ChangeListener listener)
    : ReplicatedGroup(std::move(settings), std::move(content), ports)
    , run_(std::move(self))
    , listener_(std::move(listener))
{
}

void ReplicatedFleet::publish(RoutingDocument document, PublishCallback done)
{
    const absl::Time time = now();
    {
        MutexLock lock(mutex_);
        publishes_.push_back({ document, time + callTimeout, std::move(done) });
        answerPublishes();
        if (!publishes_.empty())
            propose(RoutingRecord { std::move(document) }, time);
        processOutbox();
    }
    flush();
}

EvacuationOrderNumber ReplicatedFleet::evacuate(const DataCentreId& dataCentre, bool isEvacuated, EvacuationCallback done)
{
    const absl::Time time = now();
    EvacuationOrderNumber number;
    {
        MutexLock lock(mutex_);
        number = EvacuationOrderNumber(++evacuationOrders_);
        // The order goes through the log even if it seems to be in force already: this member's state may be old.
        const EvacuationRecord record { dataCentre, isEvacuated, state_.evacuationOf(dataCentre).revision, run_, number.value() };
        evacuations_.push_back({ record, time + evacuationTimeout, std::move(done) });
        propose(record, time);
        processOutbox();
    }
    flush();
    return number;
}

void ReplicatedFleet::abandonEvacuation(EvacuationOrderNumber number)
{
    // The callback is destroyed after the lock is released, since it may own a connection.
    EvacuationCallback dropped;
    MutexLock lock(mutex_);
    const auto pending = std::find_if(evacuations_.begin(), evacuations_.end(), [&](const PendingEvacuation& each) { return each.record.number == number.value(); });
    if (pending == evacuations_.end())
        return;
    dropped = std::move(pending->done);
    evacuations_.erase(pending);
}

void ReplicatedFleet::answerEvacuation(const EvacuationRecord& record, bool isApplied)
{
    const auto pending = std::find_if(evacuations_.begin(), evacuations_.end(), [&](const PendingEvacuation& each) { return each.record == record; });
    if (pending == evacuations_.end())
        return;
    const Evacuation inForce = state_.evacuationOf(record.dataCentre);
    const bool isDone = inForce.isEvacuated == record.isEvacuated;
    // The order is repeated even if its state is in force already: without a revision of its own it wouldn't rule out an
    // opposite order that is still on its way.
    if (!isApplied && !pending->isRepeated && now() < pending->deadline) {
        pending->isRepeated = true;
        pending->record.previous = inForce.revision;
        defer([this, repeated = pending->record] { proposeNow(repeated); });
        return;
    }
    const auto isThis = [&](const PendingEvacuation& each) { return each.record == record; };
    if (isDone)
        completeWhere(evacuations_, isThis, Done {});
    else
        completeWhere(evacuations_, isThis, Error { ErrorCode::Unavailable, "a later order for this data centre was committed meanwhile", Verdict::MayHaveRun });
}

void ReplicatedFleet::readNewest(ReadCallback done)
{
    const absl::Time time = now();
    {
        MutexLock lock(mutex_);
        const BarrierRecord barrier { run_, ++barriers_ };
        reads_.push_back({ barrier, time + callTimeout, std::move(done) });
        propose(barrier, time);
        processOutbox();
    }
    flush();
}

void ReplicatedFleet::proposeNow(Command command)
{
    const absl::Time time = now();
    {
        MutexLock lock(mutex_);
        propose(std::move(command), time);
        processOutbox();
    }
    flush();
}

void ReplicatedFleet::grant(GrantRecord record)
{
    proposeNow(std::move(record));
}

void ReplicatedFleet::remember(const MinionReport& report)
{
    proposeNow(MinionRecord { report });
}

void ReplicatedFleet::forget(const MinionInstance& instance)
{
    proposeNow(MinionGoneRecord { instance });
}

void ReplicatedFleet::addDaemon(const DaemonId& daemon)
{
    MutexLock lock(mutex_);
    addContact(daemon);
}

FleetState ReplicatedFleet::state() const
{
    MutexLock lock(mutex_);
    return state_;
}

void ReplicatedFleet::applyEntry(const LogEntry& entry)
{
    if (const auto* routing = std::get_if<RoutingRecord>(&entry.command)) {
        if (state_.apply(*routing))
            notifyListener();
        answerPublishes();
    } else if (const auto* grant = std::get_if<GrantRecord>(&entry.command)) {
        if (state_.apply(*grant, entry.index))
            notifyListener();
    } else if (const auto* minion = std::get_if<MinionRecord>(&entry.command)) {
        if (state_.apply(*minion))
            notifyListener();
    } else if (const auto* gone = std::get_if<MinionGoneRecord>(&entry.command)) {
        if (state_.apply(*gone))
            notifyListener();
    } else if (const auto* evacuation = std::get_if<EvacuationRecord>(&entry.command)) {
        const bool isApplied = state_.apply(*evacuation, entry.index);
        if (isApplied)
            notifyListener();
        answerEvacuation(*evacuation, isApplied);
    } else if (const auto* barrier = std::get_if<BarrierRecord>(&entry.command)) {
        answerReads(*barrier);
    }
}

void ReplicatedFleet::answerPublishes()
{
    const RoutingVersion inForce = state_.routing().version;
    completeWhere(
        publishes_, [&](const PendingPublish& pending) { return pending.document.version <= inForce; }, inForce);
}

void ReplicatedFleet::answerReads(const BarrierRecord& barrier)
{
    // Many reads may be answered together, and clients may be slow to take the answers, so these share one document.
    RoutingDocumentPtr document = lastRead_.lock();
    if (!document || document->version != state_.routing().version) {
        document = std::make_shared<const RoutingDocument>(state_.routing());
        lastRead_ = document;
    }
    completeWhere(
        reads_, [&](const PendingRead& pending) { return pending.barrier == barrier; }, document);
}

void ReplicatedFleet::notifyListener()
{
    // Changes that are applied together are reported in one call.
    if (std::exchange(isNotificationQueued_, true))
        return;
    defer([this] {
        FleetState state;
        {
            MutexLock lock(mutex_);
            isNotificationQueued_ = false;
            state = state_;
        }
        listener_(state);
    });
}

void ReplicatedFleet::restoreState(const Snapshot& snapshot)
{
    state_.restore(snapshot.chunks);
    notifyListener();
    answerPublishes();
}

std::vector<SnapshotChunk> ReplicatedFleet::snapshotState() const
{
    return state_.snapshot();
}

void ReplicatedFleet::retryPending(absl::Time now)
{
    const auto isExpired = [&](const auto& pending) { return pending.deadline <= now; };
    completeWhere(publishes_, isExpired, unavailable("no majority of the keepers answers; send the same again"));
    completeWhere(evacuations_, isExpired, unavailable("no majority of the keepers answers; send the same again"));
    completeWhere(reads_, isExpired, unavailable("this keeper can't be sure which version is the newest; ask another"));
    for (const PendingPublish& pending : publishes_)
        propose(RoutingRecord { pending.document }, now);
    for (const PendingRead& pending : reads_)
        propose(pending.barrier, now);
    for (const PendingEvacuation& pending : evacuations_)
        propose(pending.record, now);
}

void ReplicatedFleet::failPending(const Error& error)
{
    const Error failed = unavailable(absl::StrCat("this keeper's journal has failed: ", error.message));
    const auto isAny = [](const auto&) { return true; };
    completeWhere(publishes_, isAny, failed);
    completeWhere(reads_, isAny, failed);
    completeWhere(evacuations_, isAny, failed);
}

} // namespace trefoilwing
