#pragma once

#include "Model/Submission.h"
#include "Model/Units.h"

#include <functional>

namespace trefoilwing {

/// Who owns a submission that has been claimed before.
struct ClaimHolder {
    DaemonRun owner;
    Digest digest;
};

/// The claim is the asker's: it is durable and the first start may be sent.
struct ClaimGranted { };

/// What a claim came to: granted, held since an earlier claim, or refused with an error.
using ClaimReply = std::variant<ClaimGranted, ClaimHolder, Error>;

/// Keeps which submissions have been taken, durably, so that none starts twice.
///
/// Callbacks come from the ledger's own threads and hold no lock of the ledger.
class Ledger {
public:
    virtual ~Ledger() = default;

    /// Claims a submission for the asking daemon's run.
    /// @param retention how long the claim is kept after its outcome.
    virtual void claim(const SubmissionKey&, Digest, absl::Duration retention, std::function<void(ClaimReply)> done) = 0;

    /// Records the outcome of a submission; the first one written stands.
    /// @param done gets the outcome that stands: the verdict, and whether it is this one.
    virtual void decide(const SubmissionKey&, Verdict, bool isComplete, std::function<void(Result<Done>)> done) = 0;
};

} // namespace trefoilwing
