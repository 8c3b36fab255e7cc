// Leader election of ReplicatedLog.

#include "Control/ReplicatedLog.h"

#include <algorithm>

namespace trefoilwing {

void ReplicatedLog::resetElection(absl::Time now)
{
    const auto spread = static_cast<uint64_t>(absl::ToInt64Microseconds(settings_.electionTimeout));
    electionDue_ = now + settings_.electionTimeout + absl::Microseconds(random_.below(spread));
}

bool ReplicatedLog::hasLiveLeader(absl::Time now) const
{
    return isLeader(now) || (leader_ && now - lastLeaderContactAt_ < settings_.electionTimeout);
}

bool ReplicatedLog::isUpToDate(const VoteRequest& request) const
{
    if (request.lastTerm != store_.lastTerm())
        return request.lastTerm > store_.lastTerm();
    return request.lastIndex >= store_.lastIndex();
}

void ReplicatedLog::setTerm(Term term)
{
    hardState_.term = term;
    hardState_.votedFor.reset();
    recordHardState();
}

void ReplicatedLog::follow(Term term, std::optional<MemberId> leader, absl::Time now)
{
    if (term > hardState_.term)
        setTerm(term);
    outbox_.roleChanged |= leader_ != leader;
    leader_ = std::move(leader);
    votes_.clear();
    progress_.clear();
    forwarded_.clear();
    setRole(LogRole::Follower);
    resetElection(now);
}

void ReplicatedLog::stepDown(absl::Time now)
{
    follow(hardState_.term, std::nullopt, now);
}

void ReplicatedLog::startPreVote(absl::Time now)
{
    if (role_ == LogRole::PreCandidate || role_ == LogRole::Candidate) {
        ++failedElections_;
        lastFailedElection_ = { votes_.size(), refusals_.size() };
    }
    resetElection(now);
    leader_.reset();
    setRole(LogRole::PreCandidate);
    votes_ = { settings_.self.id };
    askForVotes(true, next(hardState_.term));
    countVotes(now);
}

void ReplicatedLog::startElection(absl::Time now)
{
    resetElection(now);
    hardState_.term = next(hardState_.term);
    hardState_.votedFor = settings_.self.id;
    recordHardState();
    selfVoteToken_ = batch_->token;
    setRole(LogRole::Candidate);
    votes_ = { settings_.self.id };
    askForVotes(false, hardState_.term);
    countVotes(now);
}

void ReplicatedLog::askForVotes(bool isPreVote, Term term)
{
    refusals_.clear();
    for (const Member& member : store_.members()) {
        if (!member.isVoter || member.id == settings_.self.id)
            continue;
        VoteRequest request { headerTo(member.id, term), isPreVote, store_.lastIndex(), store_.lastTerm() };
        if (isPreVote)
            send(member.id, std::move(request));
        else
            sendWhenSynced(member.id, std::move(request));
    }
}

void ReplicatedLog::receiveMessage(const VoteRequest& request, absl::Time now)
{
    // Vote requests are ignored while a leader is active, so that a member that returns from isolation can't
    // depose it.
    if (!isForMe(request.header) || hasLiveLeader(now))
        return;
    const Term asked = request.header.term;
    const MemberId& candidate = request.header.from;
    if (!request.isPreVote && asked > hardState_.term)
        follow(asked, std::nullopt, now);
    const bool isFree = !hardState_.votedFor || *hardState_.votedFor == candidate;
    const bool isGranted = isUpToDate(request)
        && (request.isPreVote ? asked > hardState_.term : asked == hardState_.term && isFree);
    VoteReply reply { headerTo(candidate), request.isPreVote, asked, isGranted };
    if (request.isPreVote) {
        send(candidate, std::move(reply));
        return;
    }
    if (isGranted && !hardState_.votedFor) {
        hardState_.votedFor = candidate;
        recordHardState();
        resetElection(now);
    }
    sendWhenSynced(candidate, std::move(reply));
}

void ReplicatedLog::receiveMessage(const VoteReply& reply, absl::Time now)
{
    if (!isForMe(reply.header))
        return;
    if (reply.header.term > hardState_.term) {
        follow(reply.header.term, std::nullopt, now);
        return;
    }
    const LogRole asking = reply.isPreVote ? LogRole::PreCandidate : LogRole::Candidate;
    const Term asked = reply.isPreVote ? next(hardState_.term) : hardState_.term;
    if (role_ != asking || reply.askedTerm != asked)
        return;
    if (!reply.isGranted) {
        refusals_.insert(reply.header.from);
        return;
    }
    votes_.insert(reply.header.from);
    countVotes(now);
}

void ReplicatedLog::countVotes(absl::Time now)
{
    const auto granted = std::count_if(votes_.begin(), votes_.end(), [this](const MemberId& id) {
        const Member* member = findMember(id);
        return member && member->isVoter;
    });
    if (static_cast<size_t>(granted) < majority())
        return;
    if (role_ == LogRole::PreCandidate)
        startElection(now);
    else if (!settings_.self.hasDisk || selfVoteToken_ <= syncedToken_)
        becomeLeader(now);
}

void ReplicatedLog::becomeLeader(absl::Time now)
{
    setRole(LogRole::Leader);
    outbox_.roleChanged = true;
    leader_ = settings_.self.id;
    progress_.clear();
    joining_.clear();
    // Entries of earlier terms are committed together with the first entry of this term, which is appended below.
    termStartIndex_ = next(store_.lastIndex());
    for (const Member& member : store_.members()) {
        progressOf(member.id, now);
        heardAt_.try_emplace(member.id, now);
    }
    heartbeatDue_ = now + settings_.heartbeat;
    appendAsLeader(NoOperation {}, now);
}

} // namespace trefoilwing
