#pragma once

#include "Adapters/Http/HttpConnection.h"
#include "Model/Identifiers.h"
#include "Model/Units.h"

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace trefoilwing {

/// What a caller was told.
struct CallerReply {
    /// 0 where no answer came.
    int httpStatus = 0;
    /// "running", "complete" or "failed"; "complete" also for an answered request; empty where there is none.
    std::string state;
    std::vector<std::string> outputs;
    std::string errorCode;
    std::string message;
    std::string verdict;

    bool isComplete() const { return state == "complete"; }
    bool isDecided() const { return state == "complete" || state == "failed"; }
};

/// A job of equal tasks, as a test submits it. The output of task N is "output-N".
struct CallerJob {
    SubmissionKey id;
    TaskKindId kind;
    TaskCount tasks { 1 };
    absl::Duration runTime = absl::Milliseconds(50);
    absl::Duration timeout = absl::Seconds(60);
    bool isIdempotent = false;
    /// Tasks that report a failure.
    bool fails = false;
};

/// A caller for tests: speaks the callers' HTTP to entries, each call over a connection of its own.
class Caller {
public:
    static CallerReply submit(const Endpoint& entry, const CallerJob&);

    /// Asks for an outcome once.
    /// @param wait how long the entry may hold the answer back.
    static CallerReply poll(const Endpoint& entry, const SubmissionKey&, absl::Duration wait);

    /// Polls the entries in turn until the outcome is known or the patience ends.
    static CallerReply awaitOutcome(const std::vector<Endpoint>& entries, const SubmissionKey&, absl::Duration patience);

    /// Sends a request of one task and waits for its answer. The id's key may be empty.
    static CallerReply request(const Endpoint& entry, const CallerJob&);

    /// Posts any body, right or wrong.
    static CallerReply post(const Endpoint& entry, const std::string& path, const std::string& body);

    /// @return whether the reply holds the whole answer to the job.
    static bool isWholeAnswer(const CallerReply&, const CallerJob&);
};

} // namespace trefoilwing
