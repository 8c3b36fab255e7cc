#pragma once

#include "Model/LogRecord.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/node_hash_map.h>
#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

#include <memory>
#include <vector>

namespace trefoilwing {

/// The submissions that have been claimed and how they ended.
///
/// Every member of a ledger's group applies the same records in the same order, so time enters
/// only through the records.
class LedgerState {
public:
    LedgerState() = default;
    ~LedgerState();
    LedgerState(const LedgerState&) = delete;
    LedgerState& operator=(const LedgerState&) = delete;

    /// Applies a committed record; records of other kinds change nothing.
    /// @return the submissions whose state was asked for or changed.
    std::vector<SubmissionKey> apply(const Command&);

    /// @return the claim, or nothing where the submission is unknown.
    std::optional<LedgerClaim> find(const SubmissionKey&) const;

    /// @return the owners of submissions that aren't decided.
    std::vector<DaemonRun> openOwners() const;

    size_t size() const { return claims_.size(); }

    std::vector<SnapshotPiece> snapshot() const;
    void restore(const std::vector<SnapshotPiece>&);

private:
    struct Kept {
        Digest digest;
        DaemonRun owner;
        absl::Time claimedAt;
        absl::Duration retention;
        std::optional<DecidedOutcome> outcome;
        /// Set once decided.
        absl::Time expiresAt;
        const SubmissionKey* key = nullptr;
        boost::intrusive::list_member_hook<> openHook;
        boost::intrusive::set_member_hook<> expiryHook;
    };
    struct ByExpiry {
        bool operator()(const Kept& a, const Kept& b) const { return a.expiresAt < b.expiresAt; }
    };
    using OpenList = boost::intrusive::list<Kept, boost::intrusive::member_hook<Kept, boost::intrusive::list_member_hook<>, &Kept::openHook>>;
    using ExpirySet = boost::intrusive::multiset<Kept, boost::intrusive::member_hook<Kept, boost::intrusive::set_member_hook<>, &Kept::expiryHook>, boost::intrusive::compare<ByExpiry>>;
    using Keys = std::vector<SubmissionKey>;

    Keys applyRecord(const NoOperation&) { return {}; }
    Keys applyRecord(const PublishRecord&) { return {}; }
    Keys applyRecord(const MemberRecord&) { return {}; }
    Keys applyRecord(const LookUpRecord& record) { return { record.submission }; }
    Keys applyRecord(const FoundingRecord&);
    Keys applyRecord(const ClaimRecord&);
    Keys applyRecord(const OutcomeRecord&);
    Keys applyRecord(const OwnerGoneRecord&);

    void insert(const LedgerClaim&);
    void decide(Kept&, const DecidedOutcome&);
    void passTime(absl::Time);
    void clear();
    static LedgerClaim toClaim(const SubmissionKey&, const Kept&);

    absl::Time guardUntil_ = absl::InfinitePast();
    absl::Time latest_ = absl::InfinitePast();
    absl::node_hash_map<SubmissionKey, Kept> claims_;
    absl::flat_hash_map<DaemonRun, std::unique_ptr<OpenList>> open_;
    ExpirySet expiry_;
};

} // namespace trefoilwing
