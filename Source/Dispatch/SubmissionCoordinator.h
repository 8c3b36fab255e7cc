#pragma once

#include "Base/MutexLock.h"
#include "Base/WorkSignal.h"
#include "Dispatch/ForwardTable.h"
#include "Dispatch/Pumped.h"
#include "Dispatch/SubmissionTable.h"
#include "Ports/CallerOperations.h"
#include "Ports/Clock.h"
#include "Ports/DaemonDirectory.h"
#include "Ports/Declarations.h"
#include "Ports/JobRunner.h"
#include "Ports/Ledger.h"
#include "Ports/OutcomeSink.h"
#include "Ports/PeerLink.h"

#include <array>
#include <atomic>

namespace trefoilwing {

/// The ports that the submission coordinator uses.
struct SubmissionCoordinatorPorts {
    const Clock& clock;
    const Declarations& declarations;
    const DaemonDirectory& directory;
    Ledger& ledger;
    JobRunner& runner;
    PeerLink& peers;
};

/// Accepts submissions and requests from callers at any entry. Claims the submissions whose home is this
/// data centre, forwards the others to their home, joins resubmissions to the running job, and publishes
/// each outcome once the ledger has recorded it.
///
/// Locking: at most one lock of this class is held at a time, and no port is called while holding one.
class SubmissionCoordinator : public CallerOperations, public OutcomeSink, public Pumped {
public:
    explicit SubmissionCoordinator(SubmissionCoordinatorPorts);

    void submit(Submission, StateCallback done) override;
    void request(Submission, StateCallback done) override;
    void awaitOutcome(const SubmissionKey&, absl::Duration maxWait, StateCallback done) override;
    void cancel(const SubmissionKey&, StateCallback done) override;
    CallerKey nextRequestKey() override;

    void jobDecided(const SubmissionKey&, JobOutcome) override;

    void submissionForwarded(const DaemonId& from, const ForwardedSubmission&);
    void outcomeQueried(const DaemonId& from, const OutcomeQuery&);
    void forwardAnswered(const ForwardReply&);

    /// Stops accepting new submissions; accepted ones continue.
    void drain() { isDraining_ = true; }
    bool isDraining() const { return isDraining_; }
    size_t openCount() const;
    size_t unfetchedCount() const;

    absl::Time pump(absl::Time now) override;
    void waitForWork(absl::Duration longest) override { signal_.wait(longest); }
    void wake() override { signal_.raise(); }

private:
    struct Shard {
        mutable absl::Mutex mutex;
        SubmissionTable table ABSL_GUARDED_BY(mutex);
    };

    Shard& shardOf(const SubmissionKey&);
    static bool isAnonymous(const SubmissionKey&);

    /// @return the error of a submission with invalid content, or nothing.
    std::optional<Error> validationError(const ServiceDeclaration*, const Submission&) const;
    /// @return the reason for which a new submission is rejected now, or nothing.
    std::optional<Error> admissionError(const Submission&) const;
    /// Joins a submission to the one that was accepted earlier with the same id; without one, it is rejected.
    void joinExisting(const Submission&, const Error& admissionFailure, const StateCallback& done);
    /// Claims and runs a submission whose home is this data centre.
    void submitLocally(const ServiceDeclaration&, const Submission&, const StateCallback& done);
    void claimAnswered(const Submission&, const ClaimReply&);
    void claimGranted(const Submission&);
    void claimHeld(const Submission&, const ClaimHolder&);
    void failClaim(const SubmissionKey&, const Error&);

    /// Sends a submission to an entry of its home data centre.
    void forward(const DataCentreId& home, Submission, StateCallback done);
    /// A query for a submission's outcome, independent of which entry holds it.
    struct StateQuery {
        SubmissionKey key;
        absl::Duration maxWait;
        bool cancels = false;
    };

    void queryState(const StateQuery&, StateCallback done);
    /// Looks up the owner in the ledger and queries it.
    void queryByLedger(const StateQuery&, const StateCallback& done);
    void queryOwner(const StateQuery&, const ClaimHolder&, StateCallback done);
    void queryPeer(const DaemonId&, const StateQuery&, SubmissionState stateOnTimeout, StateCallback done);
    /// @return whether the submission is known here; only then is the callback called.
    bool queryLocally(const StateQuery&, const StateCallback& done);

    void recordOutcome(const SubmissionKey&);
    void outcomeRecorded(const SubmissionKey&, const Result<RecordedOutcome>&);
    void publish(const SubmissionKey&, const SubmissionState&);
    void retryRecordings(absl::Time now);

    static constexpr size_t shardCount = 16;

    SubmissionCoordinatorPorts ports_;
    std::array<Shard, shardCount> shards_;
    absl::Mutex forwardsMutex_;
    ForwardTable forwards_ ABSL_GUARDED_BY(forwardsMutex_);
    absl::Mutex retriesMutex_;
    /// Submissions whose outcome the ledger failed to record; retried later.
    std::vector<SubmissionKey> unrecorded_ ABSL_GUARDED_BY(retriesMutex_);
    absl::Time nextRetry_ ABSL_GUARDED_BY(retriesMutex_) = absl::InfiniteFuture();
    std::atomic<uint64_t> lastRequest_ { 0 };
    std::atomic<bool> isDraining_ { false };
    WorkSignal signal_;
};

} // namespace trefoilwing
