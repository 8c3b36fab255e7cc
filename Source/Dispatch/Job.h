#pragma once

#include "Model/Submission.h"

#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>
#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace trefoilwing {

/// A submission that this entry runs, with the outputs collected so far.
///
/// Reference-counted: its owner and each open attempt hold a reference, so that late results find a valid object.
class Job : public boost::intrusive_ref_counter<Job, boost::thread_unsafe_counter> {
public:
    Job(JobNumber, Submission, absl::Time accepted);

    JobNumber number() const { return number_; }
    const Submission& submission() const { return submission_; }
    absl::Time accepted() const { return accepted_; }
    const TaskSpec& task(TaskIndex) const;

    /// Whether the outcome is known; later events don't change it.
    bool isDecided() const { return isDecided_; }
    void markDecided();

    /// Whether a task may be retried although an earlier attempt may have run.
    /// Only idempotent submissions with a single task are retried; other tasks never start twice.
    bool mayRetry() const;

    /// Removes the next waiting task of the kind from the queue.
    /// @return whether there was one.
    bool takeWaiting(const TaskKindId&, TaskIndex&);
    void returnToWaiting(TaskIndex);
    const std::map<TaskKindId, std::deque<TaskIndex>>& waiting() const { return waiting_; }
    uint32_t waitingCount() const;

    /// Excludes a minion from this job, after it failed, refused or fenced one of its tasks.
    void exclude(const MinionId& minion) { excluded_.insert(minion); }
    bool isExcluded(const MinionId& minion) const { return excluded_.contains(minion); }
    const absl::flat_hash_set<MinionId>& excluded() const { return excluded_; }

    /// Whether a task of this job was ever started with a grant.
    bool hasStarted() const { return hasStarted_; }
    void markStarted() { hasStarted_ = true; }

    /// Records that a task may have run without a result.
    void markMayHaveStarted() { mayHaveStarted_ = true; }

    /// Stores a task's output.
    /// @return whether the outputs of all tasks are now complete.
    bool complete(TaskIndex, std::string output);

    /// Records that a task ended without an output.
    void recordEnded() { ++endedTasks_; }

    /// @return the verdict for the whole job, given the number of open attempts.
    Verdict verdict(uint32_t openAttempts) const;
    JobAnswer takeAnswer();

    /// The longest run time of any of its tasks, which is a lower bound of the response time.
    absl::Duration longestRunTime() const { return longestRunTime_; }
    void recordRunTime(absl::Duration runTime) { longestRunTime_ = std::max(longestRunTime_, runTime); }

    uint32_t retries() const { return retries_; }
    void recordRetry() { ++retries_; }

private:
    JobNumber number_;
    Submission submission_;
    absl::Time accepted_;
    std::map<TaskKindId, std::deque<TaskIndex>> waiting_;
    std::vector<std::string> outputs_;
    absl::flat_hash_set<MinionId> excluded_;
    absl::Duration longestRunTime_;
    uint32_t endedTasks_ = 0;
    uint32_t completedTasks_ = 0;
    uint32_t retries_ = 0;
    bool hasStarted_ = false;
    bool mayHaveStarted_ = false;
    bool isDecided_ = false;
};

using JobPtr = boost::intrusive_ptr<Job>;

} // namespace trefoilwing
