#include "Control/ReplicatedLedger.h"

#include <absl/strings/str_cat.h>

namespace trefoilwing {

namespace {

    /// Maximum time that a claim or a look-up waits for the group.
    constexpr absl::Duration claimTimeout = absl::Seconds(5);
    /// Maximum time that an outcome waits for the group. It is longer, since no other daemon knows the outcome.
    constexpr absl::Duration decisionTimeout = absl::Seconds(30);
    /// Time within which a claim that timed out may still be committed.
    constexpr absl::Duration withdrawalTime = absl::Minutes(10);

    RecordedOutcome toRecorded(const DecidedOutcome& outcome)
    {
        return { outcome.verdict, outcome.isComplete };
    }

    ClaimHolder toHolder(const LedgerClaim& claim)
    {
        ClaimHolder holder { claim.claim.owner, claim.claim.digest, std::nullopt };
        if (claim.outcome)
            holder.outcome = toRecorded(*claim.outcome);
        return holder;
    }

    Error unreachable()
    {
        return { ErrorCode::Unavailable, "the ledger's group has no majority that answers", Verdict::MayHaveRun };
    }

    /// Moves the elements that satisfy the condition out of the map's lists.
    template <typename Map, typename Condition>
    auto extract(Map& map, Condition isWanted)
    {
        typename Map::mapped_type extracted;
        for (auto& [key, list] : map) {
            for (auto& pending : list) {
                if (isWanted(key, pending))
                    extracted.push_back(std::move(pending));
            }
            std::erase_if(list, [](const auto& pending) { return !pending.done; });
        }
        absl::erase_if(map, [](const auto& entry) { return entry.second.empty(); });
        return extracted;
    }

    template <typename Map>
    typename Map::mapped_type take(Map& map, const SubmissionKey& key)
    {
        auto found = map.find(key);
        if (found == map.end())
            return {};
        typename Map::mapped_type taken = std::move(found->second);
        map.erase(found);
        return taken;
    }

} // namespace

ReplicatedLedger::ReplicatedLedger(DaemonRun run, LogSettings settings, JournalContent content, GroupPorts ports, OutcomeListener listener)
    : ReplicatedGroup(std::move(settings), std::move(content), ports)
    , run_(std::move(run))
    , listener_(std::move(listener))
{
}

void ReplicatedLedger::claim(const SubmissionKey& key, Digest digest, absl::Duration retention, ClaimCallback done)
{
    const absl::Time time = now();
    {
        MutexLock lock(mutex_);
        if (const std::optional<LedgerClaim> known = state_.find(key)) {
            defer([done = std::move(done), holder = toHolder(*known)] { done(holder); });
        } else {
            std::vector<PendingClaim>& waiting = claims_[key];
            waiting.push_back({ digest, retention, time + claimTimeout, std::move(done) });
            if (waiting.size() == 1)
                proposeClaim(key, waiting.front(), time);
        }
        processOutbox();
    }
    flush();
}

void ReplicatedLedger::lookUp(const SubmissionKey& key, LookUpCallback done)
{
    const absl::Time time = now();
    {
        MutexLock lock(mutex_);
        if (const std::optional<LedgerClaim> known = state_.find(key)) {
            defer([done = std::move(done), holder = toHolder(*known)] { done(std::optional(holder)); });
        } else {
            // This member may be behind, so only a read that is ordered by the log can find that a submission was
            // never claimed.
            lookUps_[key].push_back({ time + claimTimeout, std::move(done) });
            propose(LookUpRecord { key }, time);
        }
        processOutbox();
    }
    flush();
}

void ReplicatedLedger::decide(const SubmissionKey& key, RecordedOutcome outcome, DecideCallback done)
{
    const absl::Time time = now();
    {
        MutexLock lock(mutex_);
        decisions_[key].push_back({ outcome, time + decisionTimeout, std::move(done) });
        const std::optional<LedgerClaim> known = state_.find(key);
        if (known && known->outcome)
            answerDecisions(key, known);
        else
            proposeOutcome(key, outcome, time);
        processOutbox();
    }
    flush();
}

void ReplicatedLedger::ownerRemoved(const DaemonRun& owner)
{
    const absl::Time time = now();
    {
        MutexLock lock(mutex_);
        removedOwners_.insert(owner);
        failClaimsOfRemovedOwners(time);
        processOutbox();
    }
    flush();
}

void ReplicatedLedger::proposeClaim(const SubmissionKey& key, const PendingClaim& pending, absl::Time now)
{
    propose(ClaimRecord { key, pending.digest, run_, now, pending.retention }, now);
}

void ReplicatedLedger::proposeOutcome(const SubmissionKey& key, const RecordedOutcome& outcome, absl::Time now)
{
    propose(OutcomeRecord { key, outcome.verdict, outcome.isComplete, run_, now }, now);
}

void ReplicatedLedger::applyEntry(const LogEntry& entry)
{
    const bool isOrderedRead = std::holds_alternative<LookUpRecord>(entry.command);
    for (const SubmissionKey& key : state_.apply(entry.command))
        answer(key, isOrderedRead);
}

void ReplicatedLedger::answer(const SubmissionKey& key, bool isOrderedRead)
{
    const std::optional<LedgerClaim> known = state_.find(key);
    if (known) {
        answerClaims(key, *known);
        withdraw(key);
    }
    if (known || isOrderedRead)
        answerLookUps(key, known);
    if (!isOrderedRead && (!known || known->outcome))
        answerDecisions(key, known);
    if (!isOrderedRead && known && known->outcome && listener_)
        defer([this, key, outcome = toRecorded(*known->outcome)] { listener_(key, outcome); });
}

void ReplicatedLedger::answerClaims(const SubmissionKey& key, const LedgerClaim& claim)
{
    bool isGranted = claim.claim.owner == run_ && !claim.outcome;
    for (PendingClaim& pending : take(claims_, key)) {
        if (isGranted && pending.digest == claim.claim.digest) {
            withdrawn_.erase(key);
            defer([done = std::move(pending.done)] { done(ClaimGranted {}); });
            isGranted = false;
        } else {
            defer([done = std::move(pending.done), holder = toHolder(claim)] { done(holder); });
        }
    }
}

void ReplicatedLedger::answerLookUps(const SubmissionKey& key, const std::optional<LedgerClaim>& known)
{
    std::optional<ClaimHolder> holder;
    if (known)
        holder = toHolder(*known);
    for (PendingLookUp& pending : take(lookUps_, key))
        defer([done = std::move(pending.done), holder] { done(holder); });
}

void ReplicatedLedger::answerDecisions(const SubmissionKey& key, const std::optional<LedgerClaim>& known)
{
    Result<RecordedOutcome> result = Error { ErrorCode::UnknownSubmission, "the ledger keeps no such submission", Verdict::MayHaveRun };
    if (known && known->outcome)
        result = toRecorded(*known->outcome);
    for (PendingDecision& pending : take(decisions_, key))
        defer([done = std::move(pending.done), result] { done(result); });
}

void ReplicatedLedger::withdraw(const SubmissionKey& key)
{
    auto found = withdrawn_.find(key);
    if (found == withdrawn_.end())
        return;
    withdrawn_.erase(found);
    const std::optional<LedgerClaim> claim = state_.find(key);
    // The claim was answered with an error, so nobody will run the submission. It is decided as not run, so that
    // other daemons don't wait for it.
    if (claim->claim.owner == run_ && !claim->outcome)
        decisions_[key].push_back({ { Verdict::NotRun, false }, absl::InfiniteFuture(), [](const auto&) {} });
}

void ReplicatedLedger::restoreState(const Snapshot& snapshot)
{
    state_.restore(snapshot.chunks);
    std::vector<SubmissionKey> asked;
    for (const auto& [key, waiting] : claims_)
        asked.push_back(key);
    for (const auto& [key, waiting] : decisions_)
        asked.push_back(key);
    for (const auto& [key, waiting] : lookUps_)
        asked.push_back(key);
    for (const SubmissionKey& key : asked) {
        if (state_.find(key))
            answer(key, false);
    }
}

std::vector<SnapshotChunk> ReplicatedLedger::snapshotState() const
{
    return state_.snapshot();
}

void ReplicatedLedger::retryPending(absl::Time now)
{
    failExpired(now);
    failClaimsOfRemovedOwners(now);
    for (const auto& [key, waiting] : claims_)
        proposeClaim(key, waiting.front(), now);
    for (const auto& [key, waiting] : lookUps_)
        propose(LookUpRecord { key }, now);
    for (const auto& [key, waiting] : decisions_)
        proposeOutcome(key, waiting.front().outcome, now);
}

void ReplicatedLedger::failExpired(absl::Time now)
{
    absl::erase_if(withdrawn_, [&](const auto& withdrawn) { return withdrawn.second <= now; });
    auto isExpired = [&](const SubmissionKey&, const auto& pending) { return pending.deadline <= now; };
    auto isExpiredClaim = [&](const SubmissionKey& key, const PendingClaim& pending) ABSL_NO_THREAD_SAFETY_ANALYSIS {
        if (pending.deadline > now)
            return false;
        withdrawn_[key] = now + withdrawalTime;
        return true;
    };
    for (PendingClaim& pending : extract(claims_, isExpiredClaim))
        defer([done = std::move(pending.done)] { done(unreachable()); });
    for (PendingLookUp& pending : extract(lookUps_, isExpired))
        defer([done = std::move(pending.done)] { done(unreachable()); });
    for (PendingDecision& pending : extract(decisions_, isExpired))
        defer([done = std::move(pending.done)] { done(unreachable()); });
}

void ReplicatedLedger::failClaimsOfRemovedOwners(absl::Time now)
{
    for (const DaemonRun& owner : state_.openOwners()) {
        const bool isEarlierRun = owner.daemon == run_.daemon && owner.incarnation < run_.incarnation;
        if (isEarlierRun || (isLeading(now) && removedOwners_.contains(owner)))
            propose(OwnerGoneRecord { owner, now }, now);
    }
}

void ReplicatedLedger::failPending(const Error& error)
{
    const Error failed { ErrorCode::Unavailable, absl::StrCat("the ledger's journal has failed: ", error.message), Verdict::MayHaveRun };
    auto all = [](const SubmissionKey&, const auto&) { return true; };
    for (PendingClaim& pending : extract(claims_, all))
        defer([done = std::move(pending.done), failed] { done(failed); });
    for (PendingLookUp& pending : extract(lookUps_, all))
        defer([done = std::move(pending.done), failed] { done(failed); });
    for (PendingDecision& pending : extract(decisions_, all))
        defer([done = std::move(pending.done), failed] { done(failed); });
}

} // namespace trefoilwing
