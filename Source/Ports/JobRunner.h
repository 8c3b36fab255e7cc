#pragma once

#include "Model/Submission.h"

namespace trefoilwing {

/// Runs jobs whose claims are durably stored. Outcomes are reported through OutcomeSink.
class JobRunner {
public:
    virtual ~JobRunner() = default;

    virtual void run(Submission) = 0;
    virtual void cancel(const SubmissionKey&) = 0;
};

} // namespace trefoilwing
