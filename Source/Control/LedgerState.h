#pragma once

#include "Control/InternTable.h"
#include "Model/LogRecord.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <boost/intrusive/list.hpp>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace trefoilwing {

/// The state machine of a ledger's replicated log: the submissions that have been claimed and their outcomes.
///
/// Every member of the group applies the same records in the same order. To be deterministic, the state
/// takes the time only from the records.
class LedgerState {
public:
    LedgerState() = default;
    ~LedgerState();
    LedgerState(const LedgerState&) = delete;
    LedgerState& operator=(const LedgerState&) = delete;

    /// Applies a committed record; records of other kinds change nothing.
    /// @return the submissions that the record looked up or changed.
    std::vector<SubmissionKey> apply(const Command&);

    /// @return the claim, or nothing where the submission is unknown.
    std::optional<LedgerClaim> find(const SubmissionKey&) const;

    /// @return the owners of submissions without an outcome.
    std::vector<DaemonRun> openOwners() const;

    size_t size() const { return claims_.size(); }

    std::vector<SnapshotChunk> snapshot() const;
    void restore(const std::vector<SnapshotChunk>&);

private:
    /// A service and one of its backers.
    using Scope = std::pair<ServiceId, BackerId>;
    using ScopeIndex = InternTable<Scope>::Index;
    using RunIndex = InternTable<DaemonRun>::Index;
    using UnixMicros = StrongId<struct UnixMicrosTag, int64_t>;
    using Hook = boost::intrusive::list_member_hook<>;

    /// One claim in compact form, because the claims of an hour are kept in memory.
    struct StoredClaim {
        CallerKey key;
        ScopeIndex scope = 0;
        RunIndex owner = 0;
        RunIndex decider = 0;
        bool isDecided = false;
        bool isComplete = false;
        Verdict verdict = Verdict::MayHaveRun;
        Digest digest;
        UnixMicros claimedAt;
        UnixMicros decidedAt;
        UnixMicros retention;
        /// Links the claim into its owner's list in open_ until it is decided, then into its retention's list in decided_.
        Hook hook;
    };
    struct ClaimKey {
        ScopeIndex scope;
        const CallerKey& key;
    };
    struct ClaimHash {
        using is_transparent = void;
        size_t operator()(const ClaimKey&) const;
        size_t operator()(const std::unique_ptr<StoredClaim>& stored) const { return (*this)(ClaimKey { stored->scope, stored->key }); }
    };
    struct ClaimEqual {
        using is_transparent = void;
        bool operator()(const std::unique_ptr<StoredClaim>& a, const ClaimKey& b) const { return a->scope == b.scope && a->key == b.key; }
        bool operator()(const std::unique_ptr<StoredClaim>& a, const std::unique_ptr<StoredClaim>& b) const { return (*this)(a, ClaimKey { b->scope, b->key }); }
    };
    using ClaimList = boost::intrusive::list<StoredClaim, boost::intrusive::member_hook<StoredClaim, Hook, &StoredClaim::hook>>;
    using Keys = std::vector<SubmissionKey>;

    Keys applyRecord(const NoOperation&) { return {}; }
    Keys applyRecord(const PublishRecord&) { return {}; }
    Keys applyRecord(const MemberRecord&) { return {}; }
    Keys applyRecord(const RoutingRecord&) { return {}; }
    Keys applyRecord(const GrantRecord&) { return {}; }
    Keys applyRecord(const BarrierRecord&) { return {}; }
    Keys applyRecord(const MinionRecord&) { return {}; }
    Keys applyRecord(const MinionGoneRecord&) { return {}; }
    Keys applyRecord(const EvacuationRecord&) { return {}; }
    Keys applyRecord(const LookUpRecord& record) { return { record.submission }; }
    Keys applyRecord(const FoundingRecord&);
    Keys applyRecord(const ClaimRecord&);
    Keys applyRecord(const OutcomeRecord&);
    Keys applyRecord(const OwnerGoneRecord&);

    StoredClaim* findStored(const SubmissionKey&) const;
    StoredClaim& insert(const ClaimRecord&);
    void decide(StoredClaim&, const DecidedOutcome&);
    void advanceTime(absl::Time);
    void clear();
    SubmissionKey keyOf(const StoredClaim&) const;
    LedgerClaim toClaim(const StoredClaim&) const;
    static UnixMicros pack(absl::Time time) { return UnixMicros(absl::ToUnixMicros(time)); }
    static absl::Time unpack(UnixMicros micros) { return absl::FromUnixMicros(micros.value()); }

    absl::Time guardUntil_ = absl::InfinitePast();
    absl::Time latest_ = absl::InfinitePast();
    InternTable<Scope> scopes_;
    InternTable<DaemonRun> runs_;
    absl::flat_hash_set<std::unique_ptr<StoredClaim>, ClaimHash, ClaimEqual> claims_;
    /// The claims without an outcome, by owner.
    absl::flat_hash_map<RunIndex, std::unique_ptr<ClaimList>> open_;
    /// The claims with an outcome, by retention. Each list is in the order of decision, which is also the order of expiry.
    std::map<UnixMicros, ClaimList> decided_;
};

} // namespace trefoilwing
