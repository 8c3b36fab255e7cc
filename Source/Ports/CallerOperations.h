#pragma once

#include "Model/Submission.h"

#include <absl/time/time.h>

#include <functional>

namespace trefoilwing {

/// What callers may ask of the system. Calls return at once; callbacks come from any thread and hold no lock.
class CallerOperations {
public:
    using StateCallback = std::function<void(const SubmissionState&)>;
    using WatchId = uint64_t;

    virtual ~CallerOperations() = default;

    /// Takes a submission, or joins the one with the same id and content.
    /// @param done gets StillRunning once the submission is durably taken, its outcome where it is known, or an error.
    virtual void submit(Submission, StateCallback done) = 0;

    /// Takes a request without an id, which no resubmission can join.
    /// @param done gets the outcome.
    virtual void request(Submission, StateCallback done) = 0;

    /// Asks where a submission stands.
    /// @param patience how long to hold the answer back while the submission runs.
    /// @param done is called once: with the outcome as soon as it is known, or with StillRunning after the patience.
    virtual void awaitOutcome(const SubmissionKey&, absl::Duration maxWait, StateCallback done) = 0;

    /// Gives a submission up. Its outcome tells what may have run.
    virtual void cancel(const SubmissionKey&, StateCallback done) = 0;

    /// @return a key for a request that brings no id of its own.
    virtual CallerKey nextRequestKey() = 0;
};

} // namespace trefoilwing
