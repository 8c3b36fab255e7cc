#pragma once

#include "Control/LedgerState.h"
#include "Control/ReplicatedGroup.h"
#include "Ports/Ledger.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <functional>
#include <set>
#include <vector>

namespace trefoilwing {

/// One member of the replicated ledger, which records the claims and outcomes of a data centre's submissions.
class ReplicatedLedger final : public Ledger, public ReplicatedGroup {
public:
    /// Called for each outcome when it is decided, with no lock held; also for submissions of other owners.
    using OutcomeListener = std::function<void(const SubmissionKey&, const RecordedOutcome&)>;

    /// @param run this daemon's run, which owns the claims made here.
    ReplicatedLedger(DaemonRun run, LogSettings, JournalContent, GroupPorts, OutcomeListener = {});

    void claim(const SubmissionKey&, Digest, absl::Duration retention, ClaimCallback done) override;
    void lookUp(const SubmissionKey&, LookUpCallback done) override;
    void decide(const SubmissionKey&, RecordedOutcome, DecideCallback done) override;

    /// Fails the open submissions of a run that has ended or whose lease has expired.
    void ownerRemoved(const DaemonRun&);

private:
    struct PendingClaim {
        Digest digest;
        absl::Duration retention;
        absl::Time deadline;
        ClaimCallback done;
    };
    struct PendingLookUp {
        absl::Time deadline;
        LookUpCallback done;
    };
    struct PendingDecision {
        RecordedOutcome outcome;
        absl::Time deadline;
        DecideCallback done;
    };
    template <typename Pending>
    using PendingMap = absl::flat_hash_map<SubmissionKey, std::vector<Pending>>;

    void applyEntry(const LogEntry&) override ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void restoreState(const Snapshot&) override ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    std::vector<SnapshotChunk> snapshotState() const override ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void retryPending(absl::Time now) override ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void failPending(const Error&) override ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    void answer(const SubmissionKey&, bool isOrderedRead) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void answerClaims(const SubmissionKey&, const LedgerClaim&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void answerLookUps(const SubmissionKey&, const std::optional<LedgerClaim>&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void answerDecisions(const SubmissionKey&, const std::optional<LedgerClaim>&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void withdraw(const SubmissionKey&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void failClaimsOfRemovedOwners(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void failExpired(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void proposeClaim(const SubmissionKey&, const PendingClaim&, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void proposeOutcome(const SubmissionKey&, const RecordedOutcome&, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    DaemonRun run_;
    OutcomeListener listener_;
    LedgerState state_ ABSL_GUARDED_BY(mutex_);
    PendingMap<PendingClaim> claims_ ABSL_GUARDED_BY(mutex_);
    PendingMap<PendingLookUp> lookUps_ ABSL_GUARDED_BY(mutex_);
    PendingMap<PendingDecision> decisions_ ABSL_GUARDED_BY(mutex_);
    /// Claims that were answered with an error but may still be committed, with the time until which to watch for them.
    absl::flat_hash_map<SubmissionKey, absl::Time> withdrawn_ ABSL_GUARDED_BY(mutex_);
    std::set<DaemonRun> removedOwners_ ABSL_GUARDED_BY(mutex_);
};

} // namespace trefoilwing
