#pragma once

#include "Base/Error.h"
#include "Model/Identifiers.h"
#include "Model/Units.h"

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace trefoilwing {

/// One task of a submission, as specified by the caller.
struct TaskSpec {
    TaskKindId kind;
    std::string payload;

    friend bool operator==(const TaskSpec&, const TaskSpec&) = default;
};

/// A caller's job with one or more tasks. A single request is a submission with one task.
struct Submission {
    SubmissionKey id;
    std::vector<TaskSpec> tasks;
    absl::Time deadline;
    /// Whether a task may be started again although an earlier start of it may have run.
    bool isIdempotent = false;

    friend bool operator==(const Submission&, const Submission&) = default;
};

/// The outputs of all tasks, in the order of the tasks in the submission.
struct JobAnswer {
    std::vector<std::string> outputs;

    friend bool operator==(const JobAnswer&, const JobAnswer&) = default;
};

/// The outcome of a job: either the complete answer or an error, never a partial answer.
using JobOutcome = Result<JobAnswer>;

/// The submission was accepted and its outcome isn't known yet.
struct StillRunning {
    friend bool operator==(const StillRunning&, const StillRunning&) = default;
};

/// The state of a submission, for callers and for other entries.
using SubmissionState = std::variant<StillRunning, JobAnswer, Error>;

/// @return the verdict of an outcome; Ran for a complete answer.
Verdict verdictOf(const JobOutcome&);

} // namespace trefoilwing
