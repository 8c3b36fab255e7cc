#pragma once

#include "Base/Error.h"
#include "Model/Identifiers.h"
#include "Model/Submission.h"

#include <absl/time/time.h>

namespace trefoilwing {

/// Forwards a caller's submission to an entry of its home data centre.
struct ForwardedSubmission {
    RequestId request;
    Submission submission;

    friend bool operator==(const ForwardedSubmission&, const ForwardedSubmission&) = default;
};

/// Asks the home data centre or the owner of a submission for its outcome.
struct OutcomeQuery {
    RequestId request;
    SubmissionKey submission;
    /// Maximum time that the answer may be delayed while the submission runs.
    absl::Duration maxWait;
    /// Whether the submission is cancelled first.
    bool cancels {};

    friend bool operator==(const OutcomeQuery&, const OutcomeQuery&) = default;
};

/// Answers a forwarded submission or a query.
struct ForwardReply {
    RequestId request;
    SubmissionState state;

    friend bool operator==(const ForwardReply&, const ForwardReply&) = default;
};

} // namespace trefoilwing
