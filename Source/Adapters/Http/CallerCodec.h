#pragma once

#include "Base/Error.h"
#include "Model/Submission.h"

#include <absl/time/time.h>

#include <string>

namespace trefoilwing {

/// Translates between callers' JSON and the model. docs/PROTOCOLS.md describes the bodies.
class CallerCodec {
public:
    /// Reads the body of POST /v1/submissions.
    /// @return the submission, with an infinite deadline if the body has none; or an error that names the bad field.
    static Result<Submission> decodeSubmission(const std::string& body, absl::Time now);

    /// Reads the body of POST /v1/requests as a submission of one task, with an empty key if the body has no id.
    static Result<Submission> decodeRequest(const std::string& body, absl::Time now);

    /// @return the body that reports the state of a submission.
    static std::string encodeState(const SubmissionState&);

    /// @return the body of the response to a request.
    static std::string encodeAnswer(const JobAnswer&);
};

} // namespace trefoilwing
