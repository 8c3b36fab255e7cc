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
    struct Kept {
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
    struct KeptKey {
        ScopeIndex scope;
        const CallerKey& key;
    };
    struct KeptHash {
        using is_transparent = void;
        size_t operator()(const KeptKey&) const;
        size_t operator()(const std::unique_ptr<Kept>& kept) const { return (*this)(KeptKey { kept->scope, kept->key }); }
    };
    struct KeptEqual {
        using is_transparent = void;
        bool operator()(const std::unique_ptr<Kept>& a, const KeptKey& b) const { return a->scope == b.scope && a->key == b.key; }
        bool operator()(const std::unique_ptr<Kept>& a, const std::unique_ptr<Kept>& b) const { return (*this)(a, KeptKey { b->scope, b->key }); }
    };
    using KeptList = boost::intrusive::list<Kept, boost::intrusive::member_hook<Kept, Hook, &Kept::hook>>;
    using Keys = std::vector<SubmissionKey>;

    Keys applyRecord(const NoOperation&) { return {}; }
    Keys applyRecord(const PublishRecord&) { return {}; }
    Keys applyRecord(const MemberRecord&) { return {}; }
    Keys applyRecord(const RoutingRecord&) { return {}; }
    Keys applyRecord(const GrantRecord&) { return {}; }
    Keys applyRecord(const BarrierRecord&) { return {}; }
    Keys applyRecord(const MinionRecord&) { return {}; }
    Keys applyRecord(const MinionGoneRecord&) { return {}; }
    Keys applyRecord(const LookUpRecord& record) { return { record.submission }; }
    Keys applyRecord(const FoundingRecord&);
    Keys applyRecord(const ClaimRecord&);
    Keys applyRecord(const OutcomeRecord&);
    Keys applyRecord(const OwnerGoneRecord&);

    Kept* findKept(const SubmissionKey&) const;
    Kept& insert(const ClaimRecord&);
    void decide(Kept&, const DecidedOutcome&);
    void passTime(absl::Time);
    void clear();
    SubmissionKey keyOf(const Kept&) const;
    LedgerClaim toClaim(const Kept&) const;
    static UnixMicros pack(absl::Time time) { return UnixMicros(absl::ToUnixMicros(time)); }
    static absl::Time unpack(UnixMicros micros) { return absl::FromUnixMicros(micros.value()); }

    absl::Time guardUntil_ = absl::InfinitePast();
    absl::Time latest_ = absl::InfinitePast();
    InternTable<Scope> scopes_;
    InternTable<DaemonRun> runs_;
    absl::flat_hash_set<std::unique_ptr<Kept>, KeptHash, KeptEqual> claims_;
    /// The claims without an outcome, by owner.
    absl::flat_hash_map<RunIndex, std::unique_ptr<KeptList>> open_;
    /// The claims with an outcome, by retention. Each list is in the order of decision, which is also the order of expiry.
    std::map<UnixMicros, KeptList> decided_;
};

} // namespace trefoilwing
