#pragma once

#include "Model/Routing.h"
#include "Model/Runs.h"

#include <absl/time/time.h>

#include <string>

namespace trefoilwing {

/// Identifies a caller's request within this process until it is answered.
using Ticket = StrongId<struct TicketTag, uint64_t>;

/// A job as submitted by a caller: a number of equal tasks that may run in any order.
struct IncomingJob {
    JobKey key;
    /// The caller's id for this request, for the log. A job that is sent again has a different one.
    std::string requestId;
    std::string host;
    std::string path;
    uint32_t taskCount = 0;
    ResourceVector need;
    absl::Duration estimate;
    std::string spec;
    /// Maximum time that the caller waits for the answer; infinite if the caller states none.
    absl::Duration maxWait = absl::InfiniteDuration();
};

enum class AnswerKind {
    Completed,
    Failed,
    /// The job hasn't run and never will; the caller may retry later.
    Overloaded,
    /// The job hasn't run and never will; this daemon can't serve requests now.
    Unavailable,
    /// The job hasn't run, as no route matches it.
    UnknownRoute,
    /// The daemon stopped waiting for the job, which may have run.
    GaveUp,
};

/// The final answer to a caller's job. Each job gets exactly one.
struct CallerAnswer {
    AnswerKind kind = AnswerKind::Unavailable;
    absl::Duration retryAfter;
};

} // namespace trefoilwing
