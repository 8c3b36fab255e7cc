#include "Control/LedgerState.h"

#include <algorithm>

namespace trefoilwing {

namespace {

    /// Keeps a snapshot's pieces small enough for one message.
    constexpr size_t maxClaimsInPiece = 1000;

} // namespace

LedgerState::~LedgerState()
{
    clear();
}

void LedgerState::clear()
{
    expiry_.clear();
    for (auto& [owner, list] : open_)
        list->clear();
    open_.clear();
    claims_.clear();
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
    if (!claims_.contains(record.submission)) {
        LedgerClaim claim { record, std::nullopt };
        // An earlier epoch may have taken the submission, so it is decided without a start. It is kept,
        // so that a resubmission after the guard finds it.
        if (record.claimedAt < guardUntil_)
            claim.outcome = DecidedOutcome { Verdict::MayHaveRun, false, record.owner, record.claimedAt };
        insert(claim);
    }
    return { record.submission };
}

LedgerState::Keys LedgerState::applyRecord(const OutcomeRecord& record)
{
    passTime(record.decidedAt);
    auto found = claims_.find(record.submission);
    if (found != claims_.end() && !found->second.outcome)
        decide(found->second, { record.verdict, record.isComplete, record.decider, record.decidedAt });
    return { record.submission };
}

LedgerState::Keys LedgerState::applyRecord(const OwnerGoneRecord& record)
{
    passTime(record.decidedAt);
    Keys keys;
    auto found = open_.find(record.owner);
    while (found != open_.end()) {
        Kept& kept = found->second->front();
        keys.push_back(*kept.key);
        decide(kept, { Verdict::MayHaveRun, false, record.owner, record.decidedAt });
        found = open_.find(record.owner);
    }
    return keys;
}

void LedgerState::insert(const LedgerClaim& claim)
{
    auto [place, isNew] = claims_.try_emplace(claim.claim.submission);
    Kept& kept = place->second;
    kept.digest = claim.claim.digest;
    kept.owner = claim.claim.owner;
    kept.claimedAt = claim.claim.claimedAt;
    kept.retention = claim.claim.retention;
    kept.key = &place->first;
    auto& list = open_[kept.owner];
    if (!list)
        list = std::make_unique<OpenList>();
    list->push_back(kept);
    if (claim.outcome)
        decide(kept, *claim.outcome);
}

void LedgerState::decide(Kept& kept, const DecidedOutcome& outcome)
{
    kept.outcome = outcome;
    kept.expiresAt = outcome.decidedAt + kept.retention;
    auto list = open_.find(kept.owner);
    list->second->erase(list->second->iterator_to(kept));
    if (list->second->empty())
        open_.erase(list);
    expiry_.insert(kept);
}

void LedgerState::passTime(absl::Time time)
{
    latest_ = std::max(latest_, time);
    while (!expiry_.empty() && expiry_.begin()->expiresAt <= latest_) {
        Kept& kept = *expiry_.begin();
        expiry_.erase(expiry_.begin());
        // The key lives in the node that is erased, so it is looked up by a copy.
        const SubmissionKey key = *kept.key;
        claims_.erase(key);
    }
}

LedgerClaim LedgerState::toClaim(const SubmissionKey& key, const Kept& kept)
{
    return { ClaimRecord { key, kept.digest, kept.owner, kept.claimedAt, kept.retention }, kept.outcome };
}

std::optional<LedgerClaim> LedgerState::find(const SubmissionKey& key) const
{
    auto found = claims_.find(key);
    if (found == claims_.end())
        return std::nullopt;
    return toClaim(key, found->second);
}

std::vector<DaemonRun> LedgerState::openOwners() const
{
    std::vector<DaemonRun> owners;
    owners.reserve(open_.size());
    for (const auto& [owner, list] : open_)
        owners.push_back(owner);
    return owners;
}

std::vector<SnapshotPiece> LedgerState::snapshot() const
{
    std::vector<SnapshotPiece> pieces;
    LedgerPiece piece { guardUntil_, latest_, {} };
    for (const auto& [key, kept] : claims_) {
        piece.claims.push_back(toClaim(key, kept));
        if (piece.claims.size() == maxClaimsInPiece) {
            pieces.emplace_back(std::move(piece));
            piece = LedgerPiece { guardUntil_, latest_, {} };
        }
    }
    pieces.emplace_back(std::move(piece));
    return pieces;
}

void LedgerState::restore(const std::vector<SnapshotPiece>& pieces)
{
    clear();
    for (const SnapshotPiece& piece : pieces) {
        const auto* content = std::get_if<LedgerPiece>(&piece);
        if (!content)
            continue;
        guardUntil_ = content->guardUntil;
        latest_ = content->latest;
        for (const LedgerClaim& claim : content->claims)
            insert(claim);
    }
}

} // namespace trefoilwing
