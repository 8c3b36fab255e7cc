#pragma once

#include "Model/Submission.h"
#include "Model/Units.h"

#include <functional>
#include <optional>
#include <variant>

namespace trefoilwing {

/// What the ledger keeps of a job's outcome; the answer's body stays with the owner.
struct RecordedOutcome {
    Verdict verdict = Verdict::MayHaveRun;
    bool isComplete = false;

    friend bool operator==(const RecordedOutcome&, const RecordedOutcome&) = default;
};

/// Who holds a submission's claim, and what became of it.
struct ClaimHolder {
    DaemonRun owner;
    Digest digest;
    std::optional<RecordedOutcome> outcome;

    friend bool operator==(const ClaimHolder&, const ClaimHolder&) = default;
};

/// The claim is the asker's: it is durable and the first start may be sent.
struct ClaimGranted { };

/// What a claim came to: granted, held since an earlier claim, or refused with an error.
/// An error's verdict is NotRun only if the ledger knows that the submission was never claimed.
using ClaimReply = std::variant<ClaimGranted, ClaimHolder, Error>;

/// Keeps which submissions have been taken, durably, so that none starts twice.
///
/// Callbacks come from the ledger's own threads and hold no lock of the ledger.
class Ledger {
public:
    using ClaimCallback = std::function<void(ClaimReply)>;
    using LookUpCallback = std::function<void(Result<std::optional<ClaimHolder>>)>;
    using DecideCallback = std::function<void(Result<RecordedOutcome>)>;

    virtual ~Ledger() = default;

    /// Claims a submission for the asking daemon's run.
    /// @param retention how long the claim is kept after its outcome.
    virtual void claim(const SubmissionKey&, Digest, absl::Duration retention, ClaimCallback done) = 0;

    /// Finds a submission without claiming it.
    /// @param done gets the claim's holder, or nothing where the submission was never claimed.
    virtual void lookUp(const SubmissionKey&, LookUpCallback done) = 0;

    /// Records the outcome of a submission that the asker claimed; the first one recorded stands.
    /// @param done gets the outcome that stands, which may be another than the one given.
    virtual void decide(const SubmissionKey&, RecordedOutcome, DecideCallback done) = 0;
};

} // namespace trefoilwing
