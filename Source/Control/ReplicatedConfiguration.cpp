#include "Control/ReplicatedConfiguration.h"

#include <absl/strings/str_cat.h>

namespace trefoilwing {

namespace {

    /// Maximum time that a publish waits for the group.
    constexpr absl::Duration publishTimeout = absl::Seconds(9);

} // namespace

ReplicatedConfiguration::ReplicatedConfiguration(LogSettings settings, JournalContent content, GroupPorts ports, ChangeListener listener)
    : ReplicatedGroup(std::move(settings), std::move(content), ports)
    , listener_(std::move(listener))
{
}

void ReplicatedConfiguration::publish(PublishRecord record, PublishCallback done)
{
    const absl::Time time = now();
    {
        MutexLock lock(mutex_);
        pending_.push_back({ record, time + publishTimeout, std::move(done) });
        propose(std::move(record), time);
        processOutbox();
    }
    flush();
}

void ReplicatedConfiguration::applyEntry(const LogEntry& entry)
{
    const auto* record = std::get_if<PublishRecord>(&entry.command);
    if (!record)
        return;
    const ConfigurationVersion before = state_.configuration().version;
    const Result<ConfigurationVersion> result = state_.publish(*record);
    notifyListener(before);
    completeWhere(
        pending_, [&](const PendingPublish& pending) { return pending.record.base == record->base && pending.record.digest == record->digest; }, result);
}

void ReplicatedConfiguration::notifyListener(ConfigurationVersion since)
{
    if (state_.configuration().version > since)
        defer([this, delta = state_.deltaSince(since)] { listener_(delta); });
}

void ReplicatedConfiguration::restoreState(const Snapshot& snapshot)
{
    const ConfigurationVersion before = state_.configuration().version;
    state_.restore(snapshot.chunks);
    notifyListener(before);
}

std::vector<SnapshotChunk> ReplicatedConfiguration::snapshotState() const
{
    return state_.snapshot();
}

void ReplicatedConfiguration::retryPending(absl::Time now)
{
    const Error timedOut { ErrorCode::Unavailable, "no majority of the keepers answers; publish the same again", Verdict::MayHaveRun };
    completeWhere(
        pending_, [&](const PendingPublish& pending) { return pending.deadline <= now; }, timedOut);
    for (const PendingPublish& pending : pending_)
        propose(pending.record, now);
}

void ReplicatedConfiguration::failPending(const Error& error)
{
    const Error failed { ErrorCode::Unavailable, absl::StrCat("the configuration's journal has failed: ", error.message), Verdict::MayHaveRun };
    completeWhere(
        pending_, [](const PendingPublish&) { return true; }, failed);
}

} // namespace trefoilwing
