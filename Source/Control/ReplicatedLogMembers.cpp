// How a ReplicatedLog's group begins, and how members come and go.

#include "Control/ReplicatedLog.h"

#include <algorithm>

namespace trefoilwing {

namespace {

    /// A learner that lacks at most so many entries is caught up.
    constexpr uint64_t maxLagOfVoter = 200;

    /// After so many election timeouts without a leader a member asks whether it still belongs to the group.
    constexpr int64_t timeoutsBeforeAsking = 4;

    /// What a daemon said about itself holds for so many intervals of asking.
    constexpr int64_t intervalsOfTrust = 3;

    size_t countVoters(const std::vector<Member>& members)
    {
        return static_cast<size_t>(std::count_if(members.begin(), members.end(), [](const Member& member) { return member.isVoter; }));
    }

} // namespace

// Joining and founding.

bool ReplicatedLog::needsToJoin(absl::Time now) const
{
    return role_ != LogRole::Leader
        && (!findMember(settings_.self.id) || now - heardLeader_ > settings_.electionTimeout * timeoutsBeforeAsking);
}

void ReplicatedLog::askToJoin(absl::Time now)
{
    joinDue_ = now + settings_.joinInterval;
    sendToOtherDaemons(JoinRequest { settings_.group, settings_.self });
    foundIfAllAreWithout(now);
}

void ReplicatedLog::receiveMessage(const JoinRequest& request, absl::Time now)
{
    if (request.group != settings_.group || request.member.id.daemon == settings_.self.id.daemon)
        return;
    if (role_ == LogRole::Joining)
        outbox_.messages.push_back({ request.member.id.daemon, JoinReply { settings_.group, request.member.id, settings_.self } });
    if (role_ != LogRole::Leader)
        return;
    joining_[request.member.id.daemon] = request.member;
    maintainMembers(now);
}

void ReplicatedLog::receiveMessage(const JoinReply& reply, absl::Time now)
{
    if (reply.group != settings_.group || reply.to != settings_.self.id)
        return;
    withoutGroup_[reply.member.id.daemon] = { reply.member, now };
    foundIfAllAreWithout(now);
}

bool ReplicatedLog::allOthersAreWithoutGroup(absl::Time now) const
{
    return std::all_of(settings_.daemons.begin(), settings_.daemons.end(), [&](const DaemonId& daemon) {
        auto heard = withoutGroup_.find(daemon);
        return daemon == settings_.self.id.daemon
            || (heard != withoutGroup_.end() && now - heard->second.heardAt < settings_.joinInterval * intervalsOfTrust);
    });
}

void ReplicatedLog::foundIfAllAreWithout(absl::Time now)
{
    if (!allOthersAreWithoutGroup(now))
        return;
    if (role_ == LogRole::Joining)
        foundFirst(now);
    else if (isOnlySurvivor())
        foundFromSurvivor(now);
}

void ReplicatedLog::foundFirst(absl::Time now)
{
    // One daemon founds, so that two never do at once.
    if (settings_.self.id.daemon != *std::min_element(settings_.daemons.begin(), settings_.daemons.end()))
        return;
    std::vector<Member> members { settings_.self };
    for (const DaemonId& daemon : settings_.daemons) {
        if (daemon != settings_.self.id.daemon)
            members.push_back(withoutGroup_.at(daemon).member);
    }
    std::sort(members.begin(), members.end(), [](const Member& a, const Member& b) {
        return a.hasDisk != b.hasDisk ? a.hasDisk : a.id < b.id;
    });
    for (size_t i = 0; i < members.size(); ++i)
        members[i].isVoter = i < settings_.maxVoters;
    found(std::move(members), settings_.claimGuard, now);
}

bool ReplicatedLog::isOnlySurvivor() const
{
    const std::vector<Member>& members = store_.members();
    return settings_.self.hasDisk && isVoter() && std::all_of(members.begin(), members.end(), [this](const Member& member) {
        auto heard = withoutGroup_.find(member.id.daemon);
        return member.id == settings_.self.id || !member.isVoter
            || (heard != withoutGroup_.end() && heard->second.member.id != member.id);
    });
}

bool ReplicatedLog::holdsAllCommitted() const
{
    // Every commit needs a voter with a disk, so the only one has taken part in all.
    const std::vector<Member>& members = store_.members();
    return std::none_of(members.begin(), members.end(), [this](const Member& member) {
        return member.isVoter && member.hasDisk && member.id != settings_.self.id;
    });
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
    append({ next(store_.lastIndex()), hardState_.term, FoundingRecord { epoch, now, claimGuard, std::move(members) } });
    withoutGroup_.clear();
    startPreVote(now);
}

// Members, at the leader.

bool ReplicatedLog::mayChangeMembers() const
{
    // One change at a time, and none before the term's first entry is committed: two changes of
    // different leaders could else make majorities that don't meet.
    return role_ == LogRole::Leader && store_.membersIndex() <= commitIndex_ && termStart_ <= commitIndex_;
}

void ReplicatedLog::changeMembers(std::vector<Member> members, absl::Time now)
{
    appendOwn(MemberRecord { std::move(members) }, now);
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
    if (admitJoining(members) || promoteLearner(members, now))
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
        // The lost voter goes before its successor votes. If one record made the successor a voter in
        // its place, a lost voter that was only frozen could still vote with the old majority.
        if (earlier != members.end())
            members.erase(earlier);
        members.push_back(member);
        return true;
    }
    return false;
}

bool ReplicatedLog::promoteLearner(std::vector<Member>& members, absl::Time now) const
{
    if (countVoters(members) >= settings_.maxVoters)
        return false;
    auto isCaughtUp = [&](const Member& member) {
        auto progress = progress_.find(member.id);
        return !member.isVoter && !member.staysLearner && progress != progress_.end()
            && progress->second.matchIndex().value() + maxLagOfVoter >= store_.lastIndex().value()
            && progress->second.matchIndex() >= termStart_
            && now - progress->second.heardAt() < settings_.electionTimeout;
    };
    auto chosen = std::find_if(members.begin(), members.end(), [&](const Member& member) { return member.hasDisk && isCaughtUp(member); });
    if (chosen == members.end())
        chosen = std::find_if(members.begin(), members.end(), isCaughtUp);
    if (chosen == members.end())
        return false;
    chosen->isVoter = true;
    return true;
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
