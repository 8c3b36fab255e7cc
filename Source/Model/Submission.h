#pragma once

#include "Base/Error.h"
#include "Model/Identifiers.h"
#include "Model/Units.h"

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace trefoilwing {

/// One task of a submission, as the caller wrote it.
struct TaskSpec {
    TaskKindId kind;
    std::string payload;

    friend bool operator==(const TaskSpec&, const TaskSpec&) = default;
};

/// A caller's job of one or more tasks. A single request is a submission of one task.
struct Submission {
    SubmissionKey id;
    std::vector<TaskSpec> tasks;
    absl::Time deadline;
    /// Whether a task may be started again when an earlier start may have run.
    bool isIdempotent = false;

    friend bool operator==(const Submission&, const Submission&) = default;
};

/// The outputs of all tasks, in the order of the submission's tasks.
struct JobAnswer {
    std::vector<std::string> outputs;

    friend bool operator==(const JobAnswer&, const JobAnswer&) = default;
};

/// A job's outcome: the complete answer or the failure, never a part.
using JobOutcome = Result<JobAnswer>;

/// The submission was taken and its outcome is not known yet.
struct StillRunning {
    friend bool operator==(const StillRunning&, const StillRunning&) = default;
};

/// Where a submission stands, for callers and for other entries.
using SubmissionState = std::variant<StillRunning, JobAnswer, Error>;

/// @return the verdict that an outcome carries; Ran for a complete answer.
Verdict verdictOf(const JobOutcome&);

} // namespace trefoilwing
