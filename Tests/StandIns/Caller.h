#pragma once

#include "Adapters/Http/HttpConnection.h"
#include "Model/Identifiers.h"
#include "Model/Units.h"

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace trefoilwing {

/// The answer to one call, as far as tests check it.
struct CallerReply {
    /// 0 if there was no answer.
    int httpStatus = 0;
    /// "running", "complete" or "failed"; "complete" also for an answered request; empty if the answer has no state.
    std::string state;
    std::vector<std::string> outputs;
    std::string errorCode;
    std::string message;
    std::string verdict;

    bool isComplete() const { return state == "complete"; }
    bool isDecided() const { return state == "complete" || state == "failed"; }
};

/// A job of identical tasks that a test submits. The output of task N is "output-N".
struct CallerJob {
    SubmissionKey id;
    TaskKindId kind;
    TaskCount tasks { 1 };
    absl::Duration runTime = absl::Milliseconds(50);
    absl::Duration timeout = absl::Seconds(60);
    bool isIdempotent = false;
    /// Whether the tasks report a failure.
    bool fails = false;
};

/// An HTTP client of the callers' API for tests. Each call opens a connection of its own.
class Caller {
public:
    static CallerReply submit(const Endpoint& entry, const CallerJob&);

    /// Queries the outcome of a job once.
    /// @param wait how long the entry may delay its answer until the job ends (long polling).
    static CallerReply poll(const Endpoint& entry, const SubmissionKey&, absl::Duration wait);

    /// Polls the entries in turn until the outcome is known or maxWait has passed.
    static CallerReply awaitOutcome(const std::vector<Endpoint>& entries, const SubmissionKey&, absl::Duration maxWait);

    /// Sends a request of one task and waits for its answer. The key in the id may be empty.
    static CallerReply request(const Endpoint& entry, const CallerJob&);

    /// Posts a body, which may be malformed.
    static CallerReply post(const Endpoint& entry, const std::string& path, const std::string& body);

    /// @return whether the reply holds the expected outputs of all tasks of the job.
    static bool isWholeAnswer(const CallerReply&, const CallerJob&);
};

} // namespace trefoilwing
