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

/// One submission that this entry runs, with the outputs collected so far.
///
/// Counted by its owner and by each attempt in flight, so that late results find a valid object.
class Job : public boost::intrusive_ref_counter<Job, boost::thread_unsafe_counter> {
public:
    Job(JobNumber, Submission, absl::Time accepted);

    JobNumber number() const { return number_; }
    const Submission& submission() const { return submission_; }
    absl::Time accepted() const { return accepted_; }
    const TaskSpec& task(TaskIndex) const;

    /// Whether the outcome is known; what comes later changes nothing.
    bool isDecided() const { return isDecided_; }
    void markDecided();

    /// Whether a task may be started again although an earlier start may have run.
    /// Only single requests may: no task of a larger submission starts twice.
    bool mayRepeat() const;

    /// @return the next task of the kind that waits for a slot, if any; it waits no longer.
    bool takeWaiting(const TaskKindId&, TaskIndex&);
    void returnToWaiting(TaskIndex);
    const std::map<TaskKindId, std::deque<TaskIndex>>& waiting() const { return waiting_; }
    uint32_t waitingCount() const;

    /// Bars a minion for this job, since it refused or fenced one of its tasks.
    void exclude(const MinionId& minion) { excluded_.insert(minion); }
    bool isExcluded(const MinionId& minion) const { return excluded_.contains(minion); }
    const absl::flat_hash_set<MinionId>& excluded() const { return excluded_; }

    /// Whether a grant was ever used for this job.
    bool hasStarted() const { return hasStarted_; }
    void noteStart() { hasStarted_ = true; }

    /// Notes evidence that a task started, or may have.
    void noteMayHaveStarted() { mayHaveStarted_ = true; }

    /// Keeps a task's output.
    /// @return whether all tasks have theirs now.
    bool complete(TaskIndex, std::string output);

    /// Notes that a task ran to its end without an output.
    void noteEnded() { ++endedTasks_; }

    /// @return what is true of the whole job, given the attempts that are still open.
    Verdict verdict(uint32_t openAttempts) const;
    JobAnswer takeAnswer();

    /// The longest run of one of its tasks: no answer can come sooner.
    absl::Duration longestRunTime() const { return longestRunTime_; }
    void noteRunTime(absl::Duration runTime) { longestRunTime_ = std::max(longestRunTime_, runTime); }

    uint32_t repeats() const { return repeats_; }
    void noteRepeat() { ++repeats_; }

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
    uint32_t repeats_ = 0;
    bool hasStarted_ = false;
    bool mayHaveStarted_ = false;
    bool isDecided_ = false;
};

using JobPtr = boost::intrusive_ptr<Job>;

} // namespace trefoilwing
