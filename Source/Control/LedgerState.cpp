#include "Control/LedgerState.h"

#include <algorithm>

namespace trefoilwing {

namespace {

    /// Maximum number of claims in one piece of a snapshot; a piece has to fit into one message.
    constexpr size_t maxClaimsInChunk = 1000;

} // namespace

LedgerState::~LedgerState()
{
    clear();
}

void LedgerState::clear()
{
    for (auto& [retention, list] : decided_)
        list.clear();
    decided_.clear();
    for (auto& [owner, list] : open_)
        list->clear();
    open_.clear();
    claims_.clear();
}

size_t LedgerState::KeptHash::operator()(const KeptKey& key) const
{
    return absl::Hash<std::pair<ScopeIndex, const std::string&>> {}({ key.scope, key.key.value() });
}

std::vector<SubmissionKey> LedgerState::apply(const Command& command)
{
    return std::visit([this](const auto& record) { return applyRecord(record); }, command);
}

LedgerState::Keys LedgerState::applyRecord(const FoundingRecord& record)
{
    guardUntil_ = std::max(guardUntil_, record.foundedAt + record.claimGuard);
    return {};
}

LedgerState::Keys LedgerState::applyRecord(const ClaimRecord& record)
{
    passTime(record.claimedAt);
    if (!findKept(record.submission)) {
        Kept& kept = insert(record);
        // An earlier epoch may have accepted the submission, so it is decided without being run. The claim is
        // kept, so that a resubmission after the guard time finds it.
        if (record.claimedAt < guardUntil_)
            decide(kept, { Verdict::MayHaveRun, false, record.owner, latest_ });
    }
    return { record.submission };
}

LedgerState::Keys LedgerState::applyRecord(const OutcomeRecord& record)
{
    passTime(record.decidedAt);
    Kept* kept = findKept(record.submission);
    if (kept && !kept->isDecided)
        decide(*kept, { record.verdict, record.isComplete, record.decider, latest_ });
    return { record.submission };
}

LedgerState::Keys LedgerState::applyRecord(const OwnerGoneRecord& record)
{
    passTime(record.decidedAt);
    Keys keys;
    const RunIndex owner = runs_.add(record.owner);
    while (open_.contains(owner)) {
        Kept& kept = open_.at(owner)->front();
        keys.push_back(keyOf(kept));
        decide(kept, { Verdict::MayHaveRun, false, record.owner, latest_ });
    }
    return keys;
}

LedgerState::Kept* LedgerState::findKept(const SubmissionKey& key) const
{
    const std::optional<ScopeIndex> scope = scopes_.find({ key.service, key.backer });
    if (!scope)
        return nullptr;
    auto found = claims_.find(KeptKey { *scope, key.key });
    return found == claims_.end() ? nullptr : found->get();
}

LedgerState::Kept& LedgerState::insert(const ClaimRecord& claim)
{
    auto kept = std::make_unique<Kept>();
    kept->key = claim.submission.key;
    kept->scope = scopes_.add({ claim.submission.service, claim.submission.backer });
    kept->owner = runs_.add(claim.owner);
    kept->digest = claim.digest;
    kept->claimedAt = pack(claim.claimedAt);
    kept->retention = UnixMicros(absl::ToInt64Microseconds(claim.retention));
    std::unique_ptr<KeptList>& list = open_[kept->owner];
    if (!list)
        list = std::make_unique<KeptList>();
    list->push_back(*kept);
    return **claims_.insert(std::move(kept)).first;
}

/// @param outcome must not be decided earlier than any previous one, so that the lists stay in the order of expiry.
void LedgerState::decide(Kept& kept, const DecidedOutcome& outcome)
{
    kept.isDecided = true;
    kept.isComplete = outcome.isComplete;
    kept.verdict = outcome.verdict;
    kept.decider = runs_.add(outcome.decider);
    kept.decidedAt = pack(outcome.decidedAt);
    auto open = open_.find(kept.owner);
    open->second->erase(open->second->iterator_to(kept));
    if (open->second->empty())
        open_.erase(open);
    decided_[kept.retention].push_back(kept);
}

void LedgerState::passTime(absl::Time time)
{
    latest_ = std::max(latest_, time);
    const int64_t latest = pack(latest_).value();
    for (auto& [retention, list] : decided_) {
        while (!list.empty() && list.front().decidedAt.value() + retention.value() <= latest) {
            Kept& expired = list.front();
            list.pop_front();
            claims_.erase(claims_.find(KeptKey { expired.scope, expired.key }));
        }
    }
}

SubmissionKey LedgerState::keyOf(const Kept& kept) const
{
    const Scope& scope = scopes_[kept.scope];
    return { scope.first, scope.second, kept.key };
}

LedgerClaim LedgerState::toClaim(const Kept& kept) const
{
    const absl::Duration retention = absl::Microseconds(kept.retention.value());
    LedgerClaim claim { ClaimRecord { keyOf(kept), kept.digest, runs_[kept.owner], unpack(kept.claimedAt), retention }, std::nullopt };
    if (kept.isDecided)
        claim.outcome = DecidedOutcome { kept.verdict, kept.isComplete, runs_[kept.decider], unpack(kept.decidedAt) };
    return claim;
}

std::optional<LedgerClaim> LedgerState::find(const SubmissionKey& key) const
{
    const Kept* kept = findKept(key);
    if (!kept)
        return std::nullopt;
    return toClaim(*kept);
}

std::vector<DaemonRun> LedgerState::openOwners() const
{
    std::vector<DaemonRun> owners;
    owners.reserve(open_.size());
    for (const auto& [owner, list] : open_)
        owners.push_back(runs_[owner]);
    return owners;
}

std::vector<SnapshotChunk> LedgerState::snapshot() const
{
    std::vector<SnapshotChunk> chunks;
    LedgerChunk chunk { guardUntil_, latest_, {} };
    auto add = [&](const Kept& kept) {
        chunk.claims.push_back(toClaim(kept));
        if (chunk.claims.size() < maxClaimsInChunk)
            return;
        chunks.emplace_back(std::move(chunk));
        chunk = LedgerChunk { guardUntil_, latest_, {} };
    };
    // The pieces follow the order of the lists, so that a restored state has the same order.
    for (const auto& [retention, list] : decided_)
        std::for_each(list.begin(), list.end(), add);
    for (const auto& [owner, list] : open_)
        std::for_each(list->begin(), list->end(), add);
    chunks.emplace_back(std::move(chunk));
    return chunks;
}

void LedgerState::restore(const std::vector<SnapshotChunk>& chunks)
{
    clear();
    for (const SnapshotChunk& chunk : chunks) {
        const auto* content = std::get_if<LedgerChunk>(&chunk);
        if (!content)
            continue;
        guardUntil_ = content->guardUntil;
        latest_ = content->latest;
        for (const LedgerClaim& claim : content->claims) {
            Kept& kept = insert(claim.claim);
            if (claim.outcome)
                decide(kept, *claim.outcome);
        }
    }
}

} // namespace trefoilwing
