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

/// The ports that the desk works through.
struct DeskPorts {
    const Clock& clock;
    const Declarations& declarations;
    const DaemonDirectory& directory;
    Ledger& ledger;
    JobRunner& runner;
    PeerLink& peers;
};

/// Takes callers' submissions and requests, whichever entry they reach: claims those whose home is
/// here, forwards the others, joins resubmissions, and tells each outcome once it is recorded.
///
/// Lock order: no two locks of the desk are held at once, and no port is called under one.
class SubmissionDesk : public CallerOperations, public OutcomeSink, public Pumped {
public:
    explicit SubmissionDesk(DeskPorts);

    void submit(Submission, StateCallback done) override;
    void request(Submission, StateCallback done) override;
    void awaitOutcome(const SubmissionKey&, absl::Duration patience, StateCallback done) override;
    void cancel(const SubmissionKey&, StateCallback done) override;
    CallerKey nextRequestKey() override;

    void jobDecided(const SubmissionKey&, JobOutcome) override;

    void submissionForwarded(const DaemonId& from, const ForwardedSubmission&);
    void outcomeQueried(const DaemonId& from, const OutcomeQuery&);
    void forwardAnswered(const ForwardReply&);

    /// Takes nothing new from now on; what was taken goes on.
    void drain() { isDraining_ = true; }
    bool isDraining() const { return isDraining_; }
    size_t openCount() const;
    size_t untoldCount() const;

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

    /// @return the error of a submission that can't be taken by its content, or nothing.
    std::optional<Error> contentError(const ServiceDeclaration*, const Submission&) const;
    /// @return why nothing new may be taken, or nothing.
    std::optional<Error> newcomerError(const Submission&) const;
    /// Joins a submission that was taken before; one that never was is refused.
    void joinOnly(const Submission&, const Error& refusal, const StateCallback& done);
    /// Claims and runs a submission whose home is this data centre.
    void submitHere(const ServiceDeclaration&, const Submission&, const StateCallback& done);
    void claimAnswered(const Submission&, const ClaimReply&);
    void claimGranted(const Submission&);
    void claimHeld(const Submission&, const ClaimHolder&);
    void refuse(const SubmissionKey&, const Error&);

    /// Sends a submission to its home.
    void forward(const DataCentreId& home, Submission, StateCallback done);
    /// A question about a submission, wherever it is held.
    struct Question {
        SubmissionKey key;
        absl::Duration patience;
        bool cancels = false;
    };

    void ask(const Question&, StateCallback done);
    /// Finds an outcome by the ledger and the owner that it names.
    void askByLedger(const Question&, const StateCallback& done);
    void askOwner(const Question&, const ClaimHolder&, StateCallback done);
    void query(const DaemonId&, const Question&, SubmissionState unanswered, StateCallback done);
    /// @return whether the submission is known here, so that the callback will be called.
    bool askHere(const Question&, const StateCallback& done);

    void recordOutcome(const SubmissionKey&);
    void outcomeRecorded(const SubmissionKey&, const Result<RecordedOutcome>&);
    void publish(const SubmissionKey&, const SubmissionState&);
    void repeatRecordings(absl::Time now);

    static constexpr size_t shardCount = 16;

    DeskPorts ports_;
    std::array<Shard, shardCount> shards_;
    absl::Mutex forwardsMutex_;
    ForwardTable forwards_ ABSL_GUARDED_BY(forwardsMutex_);
    absl::Mutex repeatsMutex_;
    /// Outcomes that the ledger couldn't record at the first try.
    std::vector<SubmissionKey> unrecorded_ ABSL_GUARDED_BY(repeatsMutex_);
    absl::Time nextRepeat_ ABSL_GUARDED_BY(repeatsMutex_) = absl::InfiniteFuture();
    std::atomic<uint64_t> lastRequest_ { 0 };
    std::atomic<bool> isDraining_ { false };
    WorkSignal signal_;
};

} // namespace trefoilwing
