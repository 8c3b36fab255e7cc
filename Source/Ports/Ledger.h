#pragma once

#include "Model/Submission.h"
#include "Model/Units.h"

#include <functional>
#include <optional>
#include <variant>

namespace trefoilwing {

/// The part of a job's outcome that the ledger stores. The outputs are stored only by the owner.
struct RecordedOutcome {
    Verdict verdict = Verdict::MayHaveRun;
    bool isComplete = false;

    friend bool operator==(const RecordedOutcome&, const RecordedOutcome&) = default;
};

/// The owner of a submission's claim and the submission's outcome, if it is known.
struct ClaimHolder {
    DaemonRun owner;
    Digest digest;
    std::optional<RecordedOutcome> outcome;

    friend bool operator==(const ClaimHolder&, const ClaimHolder&) = default;
};

/// The asking daemon holds the claim. The claim is durable, so the first task may be started.
struct ClaimGranted { };

/// The result of a claim: granted, already held by an earlier claim, or refused with an error.
/// The verdict of an error is NotRun only if the ledger knows that the submission was never claimed.
using ClaimReply = std::variant<ClaimGranted, ClaimHolder, Error>;

/// A durable record of the accepted submissions, so that no submission is started twice.
///
/// Callbacks run on the ledger's own threads and hold no lock of the ledger.
class Ledger {
public:
    using ClaimCallback = std::function<void(ClaimReply)>;
    using LookUpCallback = std::function<void(Result<std::optional<ClaimHolder>>)>;
    using DecideCallback = std::function<void(Result<RecordedOutcome>)>;

    virtual ~Ledger() = default;

    /// Claims a submission for the asking daemon's current run.
    /// @param retention how long the claim is kept after its outcome is recorded.
    virtual void claim(const SubmissionKey&, Digest, absl::Duration retention, ClaimCallback done) = 0;

    /// Finds a submission without claiming it.
    /// @param done receives the holder of the claim, or nothing if the submission was never claimed.
    virtual void lookUp(const SubmissionKey&, LookUpCallback done) = 0;

    /// Records the outcome of a submission that the asking daemon claimed. Only the first recorded outcome counts.
    /// @param done receives the recorded outcome, which may differ from the given one.
    virtual void decide(const SubmissionKey&, RecordedOutcome, DecideCallback done) = 0;
};

} // namespace trefoilwing
