#include "Control/LedgerState.h"

#include <algorithm>

namespace trefoilwing {

namespace {

    /// Maximum number of claims in one chunk of a snapshot; a chunk has to fit into one message.
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

size_t LedgerState::ClaimHash::operator()(const ClaimKey& key) const
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
    advanceTime(record.claimedAt);
    if (!findStored(record.submission)) {
        StoredClaim& stored = insert(record);
        // An earlier epoch may have accepted the submission, so it is decided without being run. The claim is
        // kept, so that a resubmission after the guard time finds it.
        if (record.claimedAt < guardUntil_)
            decide(stored, { Verdict::MayHaveRun, false, record.owner, latest_ });
    }
    return { record.submission };
}

LedgerState::Keys LedgerState::applyRecord(const OutcomeRecord& record)
{
    advanceTime(record.decidedAt);
    StoredClaim* stored = findStored(record.submission);
    if (stored && !stored->isDecided)
        decide(*stored, { record.verdict, record.isComplete, record.decider, latest_ });
    return { record.submission };
}

LedgerState::Keys LedgerState::applyRecord(const OwnerGoneRecord& record)
{
    advanceTime(record.decidedAt);
    Keys keys;
    const RunIndex owner = runs_.add(record.owner);
    while (open_.contains(owner)) {
        StoredClaim& stored = open_.at(owner)->front();
        keys.push_back(keyOf(stored));
        decide(stored, { Verdict::MayHaveRun, false, record.owner, latest_ });
    }
    return keys;
}

LedgerState::StoredClaim* LedgerState::findStored(const SubmissionKey& key) const
{
    const std::optional<ScopeIndex> scope = scopes_.find({ key.service, key.backer });
    if (!scope)
        return nullptr;
    auto found = claims_.find(ClaimKey { *scope, key.key });
    return found == claims_.end() ? nullptr : found->get();
}

LedgerState::StoredClaim& LedgerState::insert(const ClaimRecord& claim)
{
    auto stored = std::make_unique<StoredClaim>();
    stored->key = claim.submission.key;
    stored->scope = scopes_.add({ claim.submission.service, claim.submission.backer });
    stored->owner = runs_.add(claim.owner);
    stored->digest = claim.digest;
    stored->claimedAt = pack(claim.claimedAt);
    stored->retention = UnixMicros(absl::ToInt64Microseconds(claim.retention));
    std::unique_ptr<ClaimList>& list = open_[stored->owner];
    if (!list)
        list = std::make_unique<ClaimList>();
    list->push_back(*stored);
    return **claims_.insert(std::move(stored)).first;
}

/// @param outcome must not be decided earlier than any previous one, so that the lists stay in the order of expiry.
void LedgerState::decide(StoredClaim& stored, const DecidedOutcome& outcome)
{
    stored.isDecided = true;
    stored.isComplete = outcome.isComplete;
    stored.verdict = outcome.verdict;
    stored.decider = runs_.add(outcome.decider);
    stored.decidedAt = pack(outcome.decidedAt);
    auto open = open_.find(stored.owner);
    open->second->erase(open->second->iterator_to(stored));
    if (open->second->empty())
        open_.erase(open);
    decided_[stored.retention].push_back(stored);
}

void LedgerState::advanceTime(absl::Time time)
{
    latest_ = std::max(latest_, time);
    const int64_t latest = pack(latest_).value();
    for (auto& [retention, list] : decided_) {
        while (!list.empty() && list.front().decidedAt.value() + retention.value() <= latest) {
            StoredClaim& expired = list.front();
            list.pop_front();
            claims_.erase(claims_.find(ClaimKey { expired.scope, expired.key }));
        }
    }
}

SubmissionKey LedgerState::keyOf(const StoredClaim& stored) const
{
    const Scope& scope = scopes_[stored.scope];
    return { scope.first, scope.second, stored.key };
}

LedgerClaim LedgerState::toClaim(const StoredClaim& stored) const
{
    const absl::Duration retention = absl::Microseconds(stored.retention.value());
    LedgerClaim claim { ClaimRecord { keyOf(stored), stored.digest, runs_[stored.owner], unpack(stored.claimedAt), retention }, std::nullopt };
    if (stored.isDecided)
        claim.outcome = DecidedOutcome { stored.verdict, stored.isComplete, runs_[stored.decider], unpack(stored.decidedAt) };
    return claim;
}

std::optional<LedgerClaim> LedgerState::find(const SubmissionKey& key) const
{
    const StoredClaim* stored = findStored(key);
    if (!stored)
        return std::nullopt;
    return toClaim(*stored);
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
    auto add = [&](const StoredClaim& stored) {
        chunk.claims.push_back(toClaim(stored));
        if (chunk.claims.size() < maxClaimsInChunk)
            return;
        chunks.emplace_back(std::move(chunk));
        chunk = LedgerChunk { guardUntil_, latest_, {} };
    };
    // The chunks follow the order of the lists, so that a restored state has the same order.
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
            StoredClaim& stored = insert(claim.claim);
            if (claim.outcome)
                decide(stored, *claim.outcome);
        }
    }
}

} // namespace trefoilwing
