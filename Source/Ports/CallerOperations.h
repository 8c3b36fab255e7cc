#pragma once

#include "Model/Submission.h"

#include <absl/time/time.h>

#include <functional>

namespace trefoilwing {

/// The operations that the system offers to callers. Calls don't block;
/// callbacks may run on any thread and hold no lock.
class CallerOperations {
public:
    using StateCallback = std::function<void(const SubmissionState&)>;
    using WatchId = uint64_t;

    virtual ~CallerOperations() = default;

    /// Accepts a submission. A submission with the same id and content as an earlier one is joined with it.
    /// @param done receives StillRunning once the submission is durably
    /// stored, its outcome if it is known, or an error.
    virtual void submit(Submission, StateCallback done) = 0;

    /// Accepts a request without an id, so that it can't be resubmitted.
    /// @param done receives the outcome.
    virtual void request(Submission, StateCallback done) = 0;

    /// Queries the state of a submission.
    /// @param maxWait the maximum time to wait for the outcome while the submission runs.
    /// @param done is called once: with the outcome as soon as it is known, or with StillRunning after maxWait.
    virtual void awaitOutcome(const SubmissionKey&, absl::Duration maxWait, StateCallback done) = 0;

    /// Cancels a submission. The verdict of its outcome says whether it may have run.
    virtual void cancel(const SubmissionKey&, StateCallback done) = 0;

    /// @return a key for a request that brings no id of its own.
    virtual CallerKey nextRequestKey() = 0;
};

} // namespace trefoilwing
