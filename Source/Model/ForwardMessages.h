#pragma once

#include "Base/Error.h"
#include "Model/Identifiers.h"
#include "Model/Submission.h"

#include <absl/time/time.h>

#include <optional>
#include <variant>

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

    friend bool operator==(const OutcomeQuery&, const OutcomeQuery&) = default;
};

/// The submission was taken and its outcome is not known yet.
struct StillRunning {
    friend bool operator==(const StillRunning&, const StillRunning&) = default;
};

/// Answers a forwarded submission or a query.
struct ForwardReply {
    RequestId request;
    std::variant<StillRunning, JobAnswer, Error> state;

    friend bool operator==(const ForwardReply&, const ForwardReply&) = default;
};

} // namespace trefoilwing
