#pragma once

#include "Model/Submission.h"

namespace trefoilwing {

/// Takes the outcomes of jobs that this entry ran.
class OutcomeSink {
public:
    virtual ~OutcomeSink() = default;

    virtual void jobDecided(const SubmissionKey&, JobOutcome) = 0;
};

} // namespace trefoilwing
