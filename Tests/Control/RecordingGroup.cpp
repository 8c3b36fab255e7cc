#include "Control/RecordingGroup.h"

#include <absl/strings/str_cat.h>

namespace trefoilwing {

void LogOracle::applied(const LogEntry& entry)
{
    auto [known, isNew] = committed_.try_emplace(entry.index, entry);
    if (!isNew && !(known->second == entry) && !mayStartAgain)
        violations_.push_back(absl::StrCat("entry ", entry.index.value(), " changed after it was committed"));
}

void LogOracle::restored(LogIndex index, Term term)
{
    auto known = committed_.find(index);
    if (known != committed_.end() && known->second.term != term && !mayStartAgain)
        violations_.push_back(absl::StrCat("a snapshot disagrees at entry ", index.value()));
}

void LogOracle::granted(const SubmissionKey& key, const DaemonRun& owner)
{
    auto [known, isNew] = owners_.try_emplace(key, owner);
    if (!isNew && known->second != owner)
        violations_.push_back(absl::StrCat("submission ", key.key.value(), " was granted twice"));
}

void LogOracle::published(ConfigurationVersion version, Digest digest)
{
    auto [known, isNew] = versions_.try_emplace(version, digest);
    if (!isNew && known->second != digest && !mayStartAgain)
        violations_.push_back(absl::StrCat("version ", version.value(), " changed"));
}

void LogOracle::led(Epoch epoch, Term term, const MemberId& leader)
{
    auto [known, isNew] = leaders_.try_emplace({ epoch, term }, leader);
    if (!isNew && known->second != leader)
        violations_.push_back(absl::StrCat("term ", term.value(), " had two leaders"));
}

RecordingGroup::RecordingGroup(LogOracle& oracle, LogSettings settings, JournalContent content, GroupPorts ports)
    : ReplicatedGroup(std::move(settings), std::move(content), ports)
    , oracle_(oracle)
{
}

bool RecordingGroup::proposeCommand(Command command)
{
    const absl::Time time = now();
    bool isTaken = false;
    {
        MutexLock lock(mutex_);
        isTaken = propose(std::move(command), time);
        processOutbox();
    }
    flush();
    return isTaken;
}

void RecordingGroup::addDaemon(const DaemonId& daemon)
{
    MutexLock lock(mutex_);
    addContact(daemon);
}

std::optional<LedgerClaim> RecordingGroup::find(const SubmissionKey& key) const
{
    MutexLock lock(mutex_);
    return ledger_.find(key);
}

ConfigurationVersion RecordingGroup::version() const
{
    MutexLock lock(mutex_);
    return configuration_.configuration().version;
}

size_t RecordingGroup::applied() const
{
    MutexLock lock(mutex_);
    return applied_;
}

bool RecordingGroup::wasRestored() const
{
    MutexLock lock(mutex_);
    return wasRestored_;
}

void RecordingGroup::applyEntry(const LogEntry& entry)
{
    ++applied_;
    oracle_.applied(entry);
    for (const SubmissionKey& key : ledger_.apply(entry.command)) {
        const std::optional<LedgerClaim> claim = ledger_.find(key);
        if (claim && !claim->outcome)
            oracle_.granted(key, claim->claim.owner);
    }
    if (const auto* record = std::get_if<PublishRecord>(&entry.command)) {
        if (const auto result = configuration_.publish(*record); valueOf(result))
            oracle_.published(*valueOf(result), record->digest);
    }
}

void RecordingGroup::restoreState(const Snapshot& snapshot)
{
    wasRestored_ = true;
    oracle_.restored(snapshot.lastIndex, snapshot.lastTerm);
    ledger_.restore(snapshot.chunks);
    configuration_.restore(snapshot.chunks);
}

std::vector<SnapshotChunk> RecordingGroup::snapshotState() const
{
    std::vector<SnapshotChunk> chunks = ledger_.snapshot();
    for (SnapshotChunk& chunk : configuration_.snapshot())
        chunks.push_back(std::move(chunk));
    return chunks;
}

ClaimRecord claimOf(uint64_t submission, uint64_t owner)
{
    return { { ServiceId("quotes"), BackerId("shop"), CallerKey(absl::StrCat("s", submission)) }, Digest(submission),
        { DaemonId(absl::StrCat("d", owner)), Incarnation(1) }, absl::UnixEpoch(), absl::Hours(1) };
}

PublishRecord publishOf(uint64_t base, uint64_t content)
{
    ServiceDeclaration service;
    service.service = ServiceId(absl::StrCat("service", content % 7));
    service.maxTasks = static_cast<uint32_t>(content);
    return { ConfigurationVersion(base), Digest(content), { service }, {}, absl::StrCat("operator", content) };
}

std::unique_ptr<GroupCluster> makeRecordingCluster(LogOracle& oracle, GroupCluster::Options options)
{
    const size_t contacts = options.seeds > 0 ? options.hosts : 0;
    return std::make_unique<GroupCluster>(std::move(options), [&oracle, contacts](size_t, LogSettings settings, JournalContent content, GroupPorts ports) {
        auto group = std::make_unique<RecordingGroup>(oracle, std::move(settings), std::move(content), ports);
        for (size_t host = 0; host < contacts; ++host)
            group->addDaemon(DaemonId(absl::StrCat("d", host)));
        return group;
    });
}

void checkLeaders(GroupCluster& cluster, LogOracle& oracle)
{
    for (size_t i = 0; i < cluster.size(); ++i) {
        if (!cluster.group(i))
            continue;
        const GroupState status = cluster.group(i)->status();
        if (status.role == LogRole::Leader)
            oracle.led(status.epoch, status.term, *status.leader);
    }
}

} // namespace trefoilwing
