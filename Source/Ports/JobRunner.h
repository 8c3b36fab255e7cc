#pragma once

#include "Model/Submission.h"

namespace trefoilwing {

/// Runs jobs whose claims are durable; outcomes come through OutcomeSink.
class JobRunner {
public:
    virtual ~JobRunner() = default;

    virtual void run(Submission) = 0;
    virtual void cancel(const SubmissionKey&) = 0;
};

} // namespace trefoilwing
