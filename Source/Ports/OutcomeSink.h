#pragma once

#include "Model/Submission.h"

namespace trefoilwing {

/// Receives the outcomes of the jobs that this entry ran.
class OutcomeSink {
public:
    virtual ~OutcomeSink() = default;

    virtual void jobDecided(const SubmissionKey&, JobOutcome) = 0;
};

} // namespace trefoilwing
