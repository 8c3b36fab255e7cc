// Founding of a ReplicatedLog's group, and changes of its members.

#include "Control/CommandTime.h"
#include "Control/ReplicatedLog.h"

#include <algorithm>

namespace trefoilwing {

namespace {

    /// Maximum number of entries that a learner may lack to count as caught up.
    constexpr uint64_t maxVoterLag = 200;

    /// Number of election timeouts without a leader after which a member asks whether it still belongs to the group.
    constexpr int64_t timeoutsBeforeJoinRequest = 4;

    /// Number of join intervals for which a daemon's reply to a request to join remains valid.
    constexpr int64_t joinReplyLifetimeIntervals = 3;

    /// Number of join intervals for which a new group waits for enough voters. Seeds alone may be too few; the other
    /// daemons join within two intervals of their start. A fleet without enough keepers must not wait for ever.
    constexpr int64_t maxFoundingIntervals = 10;

    size_t countVoters(const std::vector<Member>& members)
    {
        return static_cast<size_t>(std::count_if(members.begin(), members.end(), [](const Member& member) { return member.isVoter; }));
    }

} // namespace

// Joining and founding.

bool ReplicatedLog::needsToJoin(absl::Time now) const
{
    return role_ != LogRole::Leader
        && (!findMember(settings_.self.id) || now - lastLeaderContactAt_ > settings_.electionTimeout * timeoutsBeforeJoinRequest);
}

void ReplicatedLog::sendJoinRequests(absl::Time now)
{
    sendToOtherDaemons(JoinRequest { settings_.group, settings_.self });
    foundIfAllowed(now);
}

void ReplicatedLog::receiveMessage(const JoinRequest& request, absl::Time now)
{
    const DaemonId& daemon = request.member.id.daemon;
    if (request.group != settings_.group || daemon == settings_.self.id.daemon)
        return;
    if (role_ == LogRole::Leader) {
        joining_[daemon] = request.member;
        advanceCommit(now);
        maintainMembers(now);
        return;
    }
    outbox_.messages.push_back({ daemon, JoinReply { settings_.group, request.member.id, settings_.self, role_ != LogRole::Joining, isVoter() } });
}

void ReplicatedLog::receiveMessage(const JoinReply& reply, absl::Time now)
{
    if (reply.group != settings_.group || reply.to != settings_.self.id || !needsToJoin(now))
        return;
    joinReplies_[reply.member.id.daemon] = { reply, now };
    foundIfAllowed(now);
}

std::vector<JoinReply> ReplicatedLog::validJoinReplies(absl::Time now) const
{
    std::vector<JoinReply> replies;
    for (const DaemonId& daemon : settings_.daemons) {
        auto found = joinReplies_.find(daemon);
        if (found != joinReplies_.end() && now - found->second.receivedAt < settings_.joinInterval * joinReplyLifetimeIntervals)
            replies.push_back(found->second.reply);
    }
    return replies;
}

void ReplicatedLog::foundIfAllowed(absl::Time now)
{
    if (!settings_.mayFound)
        return;
    const std::vector<JoinReply> others = validJoinReplies(now);
    const bool isInSettings = std::find(settings_.daemons.begin(), settings_.daemons.end(), settings_.self.id.daemon) != settings_.daemons.end();
    if (!isInSettings || others.size() + 1 != settings_.daemons.size())
        return;
    if (role_ == LogRole::Joining)
        foundNewGroup(others, now);
    else if (isOnlySurvivor(others) && (holdsAllCommitted() || settings_.claimGuard > absl::ZeroDuration()))
        foundFromSurvivor(now);
}

void ReplicatedLog::foundNewGroup(const std::vector<JoinReply>& others, absl::Time now)
{
    // Only the daemon with the lowest id founds the group, so that two daemons never found it at once.
    const bool isFounder = settings_.self.id.daemon == *std::min_element(settings_.daemons.begin(), settings_.daemons.end());
    const bool isGroupKnown = std::any_of(others.begin(), others.end(), [](const JoinReply& other) { return other.hasGroup; });
    if (!isFounder || isGroupKnown)
        return;
    std::vector<Member> members { settings_.self };
    for (const JoinReply& other : others)
        members.push_back(other.member);
    std::sort(members.begin(), members.end(), [](const Member& a, const Member& b) {
        return a.hasDisk != b.hasDisk ? a.hasDisk : a.id < b.id;
    });
    for (size_t i = 0; i < members.size(); ++i)
        members[i].isVoter = i < settings_.maxVoters;
    found(std::move(members), settings_.claimGuard, now);
}

bool ReplicatedLog::isOnlySurvivor(const std::vector<JoinReply>& others) const
{
    // No other daemon has a voter, and each other voter on the list has been succeeded by a new member of its
    // daemon, so it will never return. Hence no leader, not even an earlier one, can commit without this member.
    const std::vector<Member>& members = store_.members();
    return settings_.self.hasDisk && isVoter()
        && std::none_of(others.begin(), others.end(), [](const JoinReply& other) { return other.isVoter; })
        && std::all_of(members.begin(), members.end(), [&](const Member& member) {
               return !member.isVoter || member.id == settings_.self.id
                   || std::any_of(others.begin(), others.end(), [&](const JoinReply& other) {
                          return other.member.id.daemon == member.id.daemon && other.member.id != member.id;
                      });
           });
}

bool ReplicatedLog::holdsAllCommitted() const
{
    // Every commit needs a voter with a disk, so if this member is the only one, it took part in every commit.
    const std::vector<Member>& members = store_.members();
    return std::none_of(members.begin(), members.end(), [this](const Member& member) {
        return member.isVoter && member.hasDisk && member.id != settings_.self.id;
    });
}

bool ReplicatedLog::isBeingFounded(absl::Time now) const
{
    const size_t mayBeLost = std::max<size_t>(settings_.minSyncedDisks, 1) - 1;
    if (countVoters(store_.members()) > mayBeLost * 2 || store_.baseIndex() != LogIndex(0) || store_.lastIndex() == LogIndex(0))
        return false;
    const auto* founding = std::get_if<FoundingRecord>(&store_.entryAt(LogIndex(1)).command);
    const absl::Duration age = founding ? now - founding->foundedAt : absl::InfiniteDuration();
    return age >= absl::ZeroDuration() && age < settings_.joinInterval * maxFoundingIntervals;
}

void ReplicatedLog::foundFromSurvivor(absl::Time now)
{
    Member survivor = settings_.self;
    survivor.isVoter = true;
    found({ survivor }, holdsAllCommitted() ? absl::ZeroDuration() : settings_.claimGuard, now);
}

void ReplicatedLog::found(std::vector<Member> members, absl::Duration claimGuard, absl::Time now)
{
    const Epoch epoch(std::max(static_cast<uint64_t>(absl::ToUnixMicros(now)), hardState_.epoch.value() + 1));
    hardState_.epoch = epoch;
    setTerm(next(hardState_.term));
    Command founding = FoundingRecord { epoch, now, claimGuard, std::move(members) };
    stampTime(founding, now);
    append({ next(store_.lastIndex()), hardState_.term, std::move(founding) });
    joinReplies_.clear();
    startPreVote(now);
}

// Members, at the leader.

bool ReplicatedLog::mayChangeMembers() const
{
    // Only one change may be in progress, and none before the first entry of the term is committed. Otherwise
    // changes by two leaders could lead to majorities that don't overlap.
    return role_ == LogRole::Leader && store_.membersIndex() <= commitIndex_ && termStartIndex_ <= commitIndex_;
}

void ReplicatedLog::changeMembers(std::vector<Member> members, absl::Time now)
{
    appendAsLeader(MemberRecord { std::move(members) }, now);
}

void ReplicatedLog::maintainMembers(absl::Time now)
{
    if (!mayChangeMembers())
        return;
    if (!findMember(settings_.self.id)) {
        stepDown(now);
        return;
    }
    std::vector<Member> members = store_.members();
    if (admitJoining(members) || promoteLearner(members, now) || dropSilentVoter(members, now))
        changeMembers(std::move(members), now);
}

bool ReplicatedLog::admitJoining(std::vector<Member>& members)
{
    while (!joining_.empty()) {
        Member member = joining_.begin()->second;
        joining_.erase(joining_.begin());
        member.isVoter = false;
        auto earlier = std::find_if(members.begin(), members.end(), [&](const Member& other) {
            return other.id.daemon == member.id.daemon;
        });
        if (earlier != members.end() && earlier->id.storage >= member.id.storage)
            continue;
        // The lost voter is removed before its successor may vote. If one record made the successor a voter in
        // its place, a voter that was not lost but only frozen could still vote with the old majority.
        if (earlier != members.end())
            members.erase(earlier);
        members.push_back(member);
        return true;
    }
    return false;
}

bool ReplicatedLog::isCaughtUp(const Member& member, absl::Time now) const
{
    auto progress = progress_.find(member.id);
    return !member.isVoter && !member.staysLearner && progress != progress_.end()
        && progress->second.matchIndex().value() + maxVoterLag >= store_.lastIndex().value()
        && progress->second.matchIndex() >= termStartIndex_
        && now - progress->second.lastContactAt() < settings_.electionTimeout;
}

size_t ReplicatedLog::targetVoterCount() const
{
    const size_t members = store_.members().size();
    const size_t wanted = std::min<size_t>(settings_.maxVoters, members);
    return settings_.keepsOddVoters && wanted % 2 == 0 ? wanted - 1 : wanted;
}

void ReplicatedLog::recordContacts(const AppendRequest& request, absl::Time now)
{
    for (const Member& member : store_.members())
        heardAt_[member.id] = now;
    for (const MemberSilence& silence : request.silentVoters)
        heardAt_[silence.member] = now - silence.duration;
}

std::vector<MemberSilence> ReplicatedLog::silentVoters(absl::Time now) const
{
    std::vector<MemberSilence> silences;
    for (const Member& member : store_.members()) {
        const auto heard = heardAt_.find(member.id);
        if (member.isVoter && member.id != settings_.self.id && heard != heardAt_.end() && now - heard->second > settings_.electionTimeout)
            silences.push_back({ member.id, now - heard->second });
    }
    return silences;
}

bool ReplicatedLog::isSilentVoter(const Member& member, absl::Time now) const
{
    if (!member.isVoter || member.id == settings_.self.id)
        return false;
    const auto progress = progress_.find(member.id);
    const auto heard = heardAt_.find(member.id);
    // A new leader gives each member time to answer, as what it knows of it may be old.
    return progress == progress_.end() || heard == heardAt_.end()
        || (now - progress->second.lastContactAt() > settings_.electionTimeout && now - heard->second > settings_.voterTimeout);
}

bool ReplicatedLog::dropSilentVoter(std::vector<Member>& members, absl::Time now) const
{
    // A voter that is only silent may come back with its disk. It is removed only after a learner was promoted in its
    // place: otherwise a data centre that is cut off would leave a group too small to bear the next losses.
    if (countVoters(members) <= targetVoterCount())
        return false;
    const auto silent = std::find_if(members.begin(), members.end(), [&](const Member& member) { return isSilentVoter(member, now); });
    if (silent == members.end())
        return false;
    members.erase(silent);
    return true;
}

bool ReplicatedLog::promoteLearner(std::vector<Member>& members, absl::Time now) const
{
    const bool isAnySilent = std::any_of(members.begin(), members.end(), [&](const Member& member) { return isSilentVoter(member, now); });
    if (countVoters(members) >= targetVoterCount() + (isAnySilent ? 1 : 0))
        return false;
    auto chosen = std::find_if(members.begin(), members.end(), [&](const Member& member) { return member.hasDisk && isCaughtUp(member, now); });
    if (chosen == members.end())
        chosen = std::find_if(members.begin(), members.end(), [&](const Member& member) { return isCaughtUp(member, now); });
    if (chosen == members.end())
        return false;
    chosen->isVoter = true;
    return true;
}

void ReplicatedLog::addDaemon(const DaemonId& daemon)
{
    // Only the daemons of the settings may found the group, so a member that may still found it keeps others apart.
    std::vector<DaemonId>& daemons = settings_.daemons;
    if (settings_.mayFound)
        contacts_.insert(daemon);
    else if (std::find(daemons.begin(), daemons.end(), daemon) == daemons.end())
        daemons.push_back(daemon);
}

bool ReplicatedLog::removeDaemon(const DaemonId& daemon, absl::Time now)
{
    if (!isLeader(now) || !mayChangeMembers())
        return false;
    std::vector<Member> members = store_.members();
    const size_t removed = std::erase_if(members, [&](const Member& member) { return member.id.daemon == daemon; });
    if (removed > 0)
        changeMembers(std::move(members), now);
    return true;
}

} // namespace trefoilwing
