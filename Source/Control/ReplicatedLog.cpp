#include "Control/ReplicatedLog.h"

#include "Control/CommandTime.h"

#include <algorithm>

namespace trefoilwing {

namespace {

    /// Maximum number of entries in one request.
    constexpr size_t maxEntriesInRequest = 200;

    /// @return whether an operator is told that the command is stored.
    bool isAcknowledged(const Command& command)
    {
        return std::holds_alternative<RoutingRecord>(command) || std::holds_alternative<PublishRecord>(command) || std::holds_alternative<EvacuationRecord>(command);
    }

} // namespace

ReplicatedLog::ReplicatedLog(LogSettings settings, JournalContent content, Random& random, absl::Time now)
    : settings_(std::move(settings))
    , random_(random)
    , store_(std::move(content.snapshot), std::move(content.entries))
    , hardState_(std::move(content.hardState))
    , joinDue_(now)
    , proposals_(settings_.firstProposal)
    , durableIndex_(store_.lastIndex())
{
    if (hardState_.epoch != Epoch(0))
        role_ = LogRole::Follower;
    if (store_.snapshot()) {
        outbox_.restored = store_.snapshot();
        commitIndex_ = appliedIndex_ = store_.snapshot()->lastIndex;
    }
    resetElection(now);
    if (settings_.maxFirstElectionDelay < absl::InfiniteDuration())
        electionDue_ = now + settings_.maxFirstElectionDelay * (0.25 + 0.75 * random_.unit());
}

void ReplicatedLog::receive(const LogMessage& message, absl::Time now)
{
    std::visit([&](const auto& typed) { receiveMessage(typed, now); }, message);
}

void ReplicatedLog::tick(absl::Time now)
{
    if (role_ == LogRole::Leader)
        tickLeader(now);
    else if (now >= electionDue_ && isVoter())
        startPreVote(now);
    if (now < joinDue_)
        return;
    joinDue_ = now + settings_.joinInterval;
    if (needsToJoin(now))
        sendJoinRequests(now);
}

absl::Time ReplicatedLog::nextWakeup() const
{
    if (role_ == LogRole::Leader)
        return heartbeatDue_;
    return isVoter() ? std::min(electionDue_, joinDue_) : joinDue_;
}

void ReplicatedLog::synced(SyncToken token, absl::Time now)
{
    syncedToken_ = std::max(syncedToken_, token);
    while (!pendingSyncs_.empty() && pendingSyncs_.front().token <= syncedToken_) {
        durableIndex_ = pendingSyncs_.front().lastIndex;
        pendingSyncs_.pop_front();
    }
    while (!awaitingSync_.empty() && awaitingSync_.front().token <= syncedToken_) {
        outbox_.messages.push_back(std::move(awaitingSync_.front().envelope));
        awaitingSync_.pop_front();
    }
    if (role_ == LogRole::Candidate)
        countVotes(now);
    else if (role_ == LogRole::Leader)
        advanceCommit(now);
}

LogOutbox ReplicatedLog::takeOutbox()
{
    closeBatch();
    return std::exchange(outbox_, {});
}

// Proposals.

bool ReplicatedLog::propose(Command command, absl::Time now)
{
    if (acceptsProposal(command, now)) {
        appendAsLeader(std::move(command), now);
        return true;
    }
    if (role_ == LogRole::Leader || !leader_)
        return false;
    const ProposalId proposal { settings_.self.id, ++proposals_ };
    send(*leader_, ProposalForward { headerTo(*leader_), proposal, std::move(command) });
    return true;
}

bool ReplicatedLog::acceptsProposal(const Command& command, absl::Time now) const
{
    return isLeader(now) && hasVoterWithDisk() && (!isAcknowledged(command) || !isBeingFounded(now));
}

void ReplicatedLog::receiveMessage(const ProposalForward& message, absl::Time now)
{
    const bool isRepeat = forwarded_.contains(message.proposal);
    if (!isForMe(message.header) || !acceptsProposal(message.command, now) || isRepeat || membersNamedBy(message.command))
        return;
    appendAsLeader(message.command, now);
    forwarded_[message.proposal] = store_.lastIndex();
}

// Replication, at the leader.

void ReplicatedLog::appendAsLeader(Command command, absl::Time now)
{
    stampTime(command, now);
    append({ next(store_.lastIndex()), hardState_.term, std::move(command) });
    replicate(now, false);
    advanceCommit(now);
}

void ReplicatedLog::tickLeader(absl::Time now)
{
    // A leader that no longer gets answers from a majority may have been replaced, so it steps down.
    if (!isLeader(now)) {
        stepDown(now);
        return;
    }
    for (auto& [id, progress] : progress_)
        progress.expire(now, settings_.electionTimeout / 2);
    if (now >= heartbeatDue_) {
        heartbeatDue_ = now + settings_.heartbeat;
        replicate(now, true);
    }
    maintainMembers(now);
}

bool ReplicatedLog::isLeader(absl::Time now) const
{
    return role_ == LogRole::Leader && now - quorumContactAt(now) < settings_.electionTimeout;
}

absl::Time ReplicatedLog::quorumContactAt(absl::Time now) const
{
    std::vector<absl::Time> contacts;
    for (const Member& member : store_.members()) {
        if (!member.isVoter)
            continue;
        auto progress = progress_.find(member.id);
        const absl::Time never = absl::InfinitePast();
        contacts.push_back(member.id == settings_.self.id ? now : progress == progress_.end() ? never
                                                                                              : progress->second.lastContactAt());
    }
    if (contacts.empty())
        return absl::InfinitePast();
    std::sort(contacts.begin(), contacts.end(), std::greater<>());
    return contacts[majority() - 1];
}

MemberProgress& ReplicatedLog::progressOf(const MemberId& id, absl::Time now)
{
    return progress_.try_emplace(id, next(store_.lastIndex()), now).first->second;
}

void ReplicatedLog::replicate(absl::Time now, bool isHeartbeat)
{
    for (const Member& member : store_.members()) {
        if (member.id == settings_.self.id)
            continue;
        MemberProgress& progress = progressOf(member.id, now);
        bool isDue = isHeartbeat;
        while (progress.canSend() && (isDue || progress.nextIndex() <= store_.lastIndex())) {
            isDue = false;
            if (progress.snapshot || progress.nextIndex() <= store_.baseIndex()) {
                sendSnapshotChunk(member, progress, now);
                break;
            }
            sendEntries(member, progress, now);
        }
    }
}

void ReplicatedLog::sendEntries(const Member& member, MemberProgress& progress, absl::Time now)
{
    AppendRequest request { headerTo(member.id), previous(progress.nextIndex()), {}, {}, commitIndex_, ++round_, silentVoters(now) };
    request.previousTerm = *store_.termAt(request.previousIndex);
    request.entries = store_.entriesFrom(progress.nextIndex(), maxEntriesInRequest);
    progress.sent(round_, LogIndex(request.previousIndex.value() + request.entries.size()), now);
    send(member.id, std::move(request));
}

void ReplicatedLog::sendSnapshotChunk(const Member& member, MemberProgress& progress, absl::Time now)
{
    if (progress.hasRequestInFlight())
        return;
    if (!progress.snapshot) {
        progress.snapshot = store_.snapshot();
        progress.snapshotChunk = 0;
    }
    const Snapshot& snapshot = *progress.snapshot;
    SnapshotRequest request { headerTo(member.id), snapshot.lastIndex, snapshot.lastTerm, snapshot.members,
        progress.snapshotChunk, static_cast<uint32_t>(snapshot.chunks.size()), snapshot.chunks[progress.snapshotChunk], ++round_ };
    progress.sent(round_, previous(progress.nextIndex()), now);
    send(member.id, std::move(request));
}

void ReplicatedLog::receiveMessage(const AppendReply& reply, absl::Time now)
{
    if (!isForMe(reply.header))
        return;
    if (reply.header.term > hardState_.term) {
        follow(reply.header.term, std::nullopt, now);
        return;
    }
    auto found = progress_.find(reply.header.from);
    if (role_ != LogRole::Leader || reply.header.term != hardState_.term || found == progress_.end())
        return;
    MemberProgress& progress = found->second;
    const bool isExpected = progress.answered(reply.round);
    heardAt_[reply.header.from] = progress.lastContactAt();
    if (reply.nextChunk) {
        const bool isWanted = progress.snapshot && *reply.nextChunk < progress.snapshot->chunks.size();
        if (isWanted && *reply.nextChunk != progress.snapshotChunk)
            progress.snapshotChunk = *reply.nextChunk;
    } else if (reply.isAccepted) {
        progress.accepted(std::min(reply.lastIndex, store_.lastIndex()));
        if (progress.snapshot && reply.lastIndex >= progress.snapshot->lastIndex)
            progress.snapshot = nullptr;
        advanceCommit(now);
    } else if (isExpected) {
        progress.rejected(reply.lastIndex);
    }
    if (role_ == LogRole::Leader)
        replicate(now, progress.snapshot != nullptr);
}

LogIndex ReplicatedLog::matchIndexOf(const Member& member) const
{
    if (member.id == settings_.self.id)
        return settings_.self.hasDisk ? durableIndex_ : store_.lastIndex();
    auto progress = progress_.find(member.id);
    return progress == progress_.end() ? LogIndex(0) : progress->second.matchIndex();
}

void ReplicatedLog::advanceCommit(absl::Time now)
{
    std::vector<LogIndex> matches;
    for (const Member& member : store_.members()) {
        if (member.isVoter)
            matches.push_back(matchIndexOf(member));
    }
    if (matches.empty())
        return;
    std::sort(matches.begin(), matches.end(), std::greater<>());
    // If all voters' disks are lost, entries commit by majority alone. Only changes of members are accepted then,
    // so that a member with a disk can join.
    const LogIndex index = hasVoterWithDisk() ? std::min(matches[majority() - 1], syncedIndex()) : matches[majority() - 1];
    // An entry of an earlier term is committed only together with an entry of the current term, because a later
    // leader could otherwise still replace it.
    if (index <= commitIndex_ || store_.termAt(index) != hardState_.term)
        return;
    commitIndex_ = index;
    deliverCommitted();
    absl::erase_if(forwarded_, [&](const auto& forwarded) { return forwarded.second <= commitIndex_; });
    replicate(now, true);
    maintainMembers(now);
}

LogIndex ReplicatedLog::syncedIndex() const
{
    std::vector<LogIndex> synced;
    size_t lost = 0;
    for (const Member& member : store_.members()) {
        if (!member.hasDisk || (!member.isVoter && settings_.minSyncedDisks <= 1))
            continue;
        synced.push_back(matchIndexOf(member));
        lost += isSuperseded(member) ? 1 : 0;
    }
    if (synced.size() < settings_.minSyncedDisks)
        return LogIndex(0);
    // A new group may have no more members than disks are needed. If one of them is lost, its successor is admitted by a
    // commit without it; otherwise nothing could be committed any more.
    const size_t left = std::max<size_t>(1, synced.size() - lost);
    std::sort(synced.begin(), synced.end(), std::greater<>());
    return synced[std::min<size_t>(settings_.minSyncedDisks, left) - 1];
}

// Replication, at a follower.

bool ReplicatedLog::acceptLeader(const LogHeader& header, absl::Time now)
{
    if (!isForMe(header))
        return false;
    if (header.term < hardState_.term) {
        // The term in the reply makes an outdated leader step down.
        send(header.from, AppendReply { headerTo(header.from), false, store_.lastIndex(), 0, std::nullopt });
        return false;
    }
    follow(header.term, header.from, now);
    lastLeaderContactAt_ = heardAt_[header.from] = now;
    return true;
}

void ReplicatedLog::receiveMessage(const AppendRequest& request, absl::Time now)
{
    if (!acceptLeader(request.header, now))
        return;
    recordContacts(request, now);
    AppendReply reply { headerTo(request.header.from), true, {}, request.round, std::nullopt };
    const bool isCovered = request.previousIndex < store_.baseIndex();
    if (!isCovered && store_.termAt(request.previousIndex) != request.previousTerm) {
        reply.isAccepted = false;
        reply.lastIndex = lastIndexHint(request.previousIndex);
        replyToAppend(request.header.from, std::move(reply));
        return;
    }
    takeEntries(request);
    const LogIndex last(request.previousIndex.value() + request.entries.size());
    // Entries up to the base are committed, so the leader has them too.
    reply.lastIndex = std::max(last, store_.baseIndex());
    commitIndex_ = std::max(commitIndex_, std::min(request.commit, reply.lastIndex));
    deliverCommitted();
    replyToAppend(request.header.from, std::move(reply));
}

void ReplicatedLog::takeEntries(const AppendRequest& request)
{
    for (const LogEntry& entry : request.entries) {
        if (entry.index <= store_.baseIndex() || store_.termAt(entry.index) == entry.term)
            continue;
        if (entry.index <= store_.lastIndex())
            truncateFrom(entry.index);
        append(entry);
    }
}

LogIndex ReplicatedLog::lastIndexHint(LogIndex refused) const
{
    if (refused > store_.lastIndex())
        return store_.lastIndex();
    // The hint skips all entries of the rejected entry's term at once.
    const std::optional<Term> term = store_.termAt(refused);
    LogIndex index = refused;
    while (index > commitIndex_ && store_.termAt(index) == term)
        index = previous(index);
    return index;
}

void ReplicatedLog::replyToAppend(const MemberId& leader, AppendReply reply)
{
    sendWhenSynced(leader, std::move(reply));
}

void ReplicatedLog::receiveMessage(const SnapshotRequest& request, absl::Time now)
{
    if (!acceptLeader(request.header, now))
        return;
    AppendReply reply { headerTo(request.header.from), true, request.lastIndex, request.round, std::nullopt };
    if (request.lastIndex > commitIndex_ && store_.termAt(request.lastIndex) == request.lastTerm) {
        // A late request: this member has all entries up to the snapshot, and may have acknowledged later ones, which
        // installing it would drop.
        commitIndex_ = request.lastIndex;
        deliverCommitted();
    } else if (request.lastIndex > commitIndex_ && !takeChunk(request)) {
        reply.isAccepted = false;
        reply.nextChunk = static_cast<uint32_t>(incoming_->snapshot->chunks.size());
    }
    replyToAppend(request.header.from, std::move(reply));
}

bool ReplicatedLog::takeChunk(const SnapshotRequest& request)
{
    const bool isSame = incoming_ && incoming_->from == request.header.from
        && incoming_->snapshot->lastIndex == request.lastIndex && incoming_->snapshot->lastTerm == request.lastTerm;
    if (!isSame) {
        auto snapshot = std::make_shared<Snapshot>(Snapshot { request.lastIndex, request.lastTerm, request.header.epoch, request.members, {} });
        incoming_ = IncomingSnapshot { std::move(snapshot), request.header.from };
    }
    std::vector<SnapshotChunk>& chunks = incoming_->snapshot->chunks;
    if (request.chunk == chunks.size())
        chunks.push_back(request.content);
    if (chunks.size() < request.chunks)
        return false;
    install(std::move(incoming_->snapshot));
    incoming_.reset();
    return true;
}

void ReplicatedLog::install(std::shared_ptr<const Snapshot> snapshot)
{
    store_.replace(snapshot);
    commitIndex_ = appliedIndex_ = snapshot->lastIndex;
    durableIndex_ = std::min(durableIndex_, snapshot->lastIndex);
    for (PendingSync& pending : pendingSyncs_)
        pending.lastIndex = std::min(pending.lastIndex, snapshot->lastIndex);
    JournalBatch& batch = openBatch();
    batch.entries.clear();
    batch.snapshot = snapshot;
    batch.dropsEntries = true;
    outbox_.committed.clear();
    outbox_.restored = std::move(snapshot);
}

// Snapshots of this member's own log.

bool ReplicatedLog::wantsSnapshot() const
{
    const LogIndex covered = store_.snapshot() ? store_.snapshot()->lastIndex : LogIndex(0);
    return outbox_.committed.empty() && store_.size() > settings_.maxEntries
        && appliedIndex_.value() - covered.value() > settings_.maxEntries / 2;
}

void ReplicatedLog::compact(std::vector<SnapshotChunk> chunks)
{
    auto snapshot = std::make_shared<const Snapshot>(Snapshot { appliedIndex_, *store_.termAt(appliedIndex_),
        hardState_.epoch, store_.membersAt(appliedIndex_), std::move(chunks) });
    store_.compact(snapshot, settings_.maxEntries / 2);
    openBatch().snapshot = std::move(snapshot);
}

// Common.

bool ReplicatedLog::isForMe(const LogHeader& header)
{
    if (header.group != settings_.group || header.to != settings_.self.id || header.epoch == Epoch(0))
        return false;
    if (header.epoch > hardState_.epoch && !isVoter()) {
        // Only a group that lists this member sends it messages, and a member that isn't a voter has no
        // obligations to another group, so it adopts the newer epoch.
        hardState_.epoch = header.epoch;
        setRole(LogRole::Follower);
        recordHardState();
    }
    return header.epoch == hardState_.epoch;
}

LogHeader ReplicatedLog::headerTo(const MemberId& to) const
{
    return headerTo(to, hardState_.term);
}

LogHeader ReplicatedLog::headerTo(const MemberId& to, Term term) const
{
    return { settings_.group, hardState_.epoch, settings_.self.id, to, term };
}

void ReplicatedLog::send(const MemberId& to, PeerMessage message)
{
    outbox_.messages.push_back({ to.daemon, std::move(message) });
}

void ReplicatedLog::sendToOtherDaemons(const PeerMessage& message)
{
    std::set<DaemonId> receivers = contacts_;
    receivers.insert(settings_.daemons.begin(), settings_.daemons.end());
    for (const Member& member : store_.members())
        receivers.insert(member.id.daemon);
    receivers.erase(settings_.self.id.daemon);
    for (const DaemonId& daemon : receivers)
        outbox_.messages.push_back({ daemon, message });
}

void ReplicatedLog::sendWhenSynced(const MemberId& to, PeerMessage message)
{
    const SyncToken token = batch_ ? batch_->token : lastToken_;
    if (!settings_.self.hasDisk || token <= syncedToken_)
        send(to, std::move(message));
    else
        awaitingSync_.push_back({ token, { to.daemon, std::move(message) } });
}

JournalBatch& ReplicatedLog::openBatch()
{
    if (!batch_) {
        batch_.emplace();
        batch_->token = SyncToken(lastToken_.value() + 1);
    }
    return *batch_;
}

void ReplicatedLog::closeBatch()
{
    if (!batch_)
        return;
    lastToken_ = batch_->token;
    if (settings_.self.hasDisk) {
        pendingSyncs_.push_back({ lastToken_, store_.lastIndex() });
        outbox_.batches.push_back(std::move(*batch_));
    } else {
        syncedToken_ = lastToken_;
    }
    batch_.reset();
}

void ReplicatedLog::recordHardState()
{
    openBatch().hardState = hardState_;
}

void ReplicatedLog::append(LogEntry entry)
{
    openBatch().entries.push_back(entry);
    store_.append(std::move(entry));
}

void ReplicatedLog::truncateFrom(LogIndex first)
{
    store_.truncateFrom(first);
    const LogIndex last = store_.lastIndex();
    durableIndex_ = std::min(durableIndex_, last);
    for (PendingSync& pending : pendingSyncs_)
        pending.lastIndex = std::min(pending.lastIndex, last);
}

void ReplicatedLog::deliverCommitted()
{
    while (appliedIndex_ < commitIndex_) {
        appliedIndex_ = next(appliedIndex_);
        outbox_.committed.push_back(store_.entryAt(appliedIndex_));
    }
}

const Member* ReplicatedLog::findMember(const MemberId& id) const
{
    const std::vector<Member>& members = store_.members();
    auto found = std::find_if(members.begin(), members.end(), [&](const Member& member) { return member.id == id; });
    return found == members.end() ? nullptr : &*found;
}

bool ReplicatedLog::isVoter() const
{
    const Member* self = findMember(settings_.self.id);
    return self && self->isVoter;
}

bool ReplicatedLog::hasVoterWithDisk() const
{
    const std::vector<Member>& members = store_.members();
    return std::any_of(members.begin(), members.end(), [this](const Member& member) {
        return member.isVoter && member.hasDisk && !isSuperseded(member);
    });
}

bool ReplicatedLog::isSuperseded(const Member& member) const
{
    auto successor = joining_.find(member.id.daemon);
    return successor != joining_.end() && successor->second.id.storage > member.id.storage;
}

size_t ReplicatedLog::majority() const
{
    const std::vector<Member>& members = store_.members();
    const auto voters = std::count_if(members.begin(), members.end(), [](const Member& member) { return member.isVoter; });
    return static_cast<size_t>(voters) / 2 + 1;
}

void ReplicatedLog::setRole(LogRole role)
{
    outbox_.roleChanged |= role_ != role;
    role_ = role;
}

} // namespace trefoilwing
