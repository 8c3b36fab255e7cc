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
    /// @return the submission, with an infinite deadline where the body gives none; or what is wrong with it.
    static Result<Submission> decodeSubmission(const std::string& body, absl::Time now);

    /// Reads the body of POST /v1/requests into a submission of one task, with an empty key where it has no id.
    static Result<Submission> decodeRequest(const std::string& body, absl::Time now);

    /// @return the body that tells where a submission stands.
    static std::string encodeState(const SubmissionState&);

    /// @return the body that answers a request.
    static std::string encodeAnswer(const JobAnswer&);
};

} // namespace trefoilwing
