#pragma once

#include "Base/Error.h"
#include "Model/Identifiers.h"
#include "Model/Submission.h"

#include <absl/time/time.h>

namespace trefoilwing {

/// Passes a caller's submission to an entry of its home data centre.
struct ForwardedSubmission {
    RequestId request;
    Submission submission;

    friend bool operator==(const ForwardedSubmission&, const ForwardedSubmission&) = default;
};

/// Asks for a submission's outcome, from its home or from its owner.
struct OutcomeQuery {
    RequestId request;
    SubmissionKey submission;
    /// How long to hold the answer back while the submission runs.
    absl::Duration maxWait;
    /// Whether the submission is to be given up first.
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
