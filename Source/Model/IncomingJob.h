#pragma once

#include "Model/Routing.h"
#include "Model/Runs.h"

#include <absl/time/time.h>

#include <string>

namespace trefoilwing {

/// Names a caller's request that waits for its answer in this process.
using Ticket = StrongId<struct TicketTag, uint64_t>;

/// A job as a caller hands it in: equal tasks without an order among them.
struct IncomingJob {
    JobKey key;
    /// The caller's id of this request, for the log; a job that is sent again has another one.
    std::string requestId;
    std::string host;
    std::string path;
    uint32_t taskCount = 0;
    ResourceVector need;
    absl::Duration estimate;
    std::string spec;
    /// How long the caller waits; infinite where it doesn't say.
    absl::Duration maxWait = absl::InfiniteDuration();
};

enum class AnswerKind {
    Completed,
    Failed,
    /// Not run, and it never will; come back later.
    Overloaded,
    /// Not run, and it never will; this daemon can't serve now.
    Unavailable,
    /// Not run; no such route.
    UnknownRoute,
    /// It may have run.
    GaveUp,
};

/// The one answer to a caller's job.
struct CallerAnswer {
    AnswerKind kind = AnswerKind::Unavailable;
    absl::Duration retryAfter;
};

} // namespace trefoilwing
