#pragma once

#include "Model/FleetMessages.h"

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace trefoilwing {

enum class TaskState {
    Queued,
    /// The task may have a run in progress.
    Active,
    Done,
};

class CellTask {
public:
    TaskState state() const { return state_; }

    uint32_t failures = 0;
    /// The minion of the latest failed or stalled run; it is used again only if the task fits no other.
    MinionId avoidedMinion;

private:
    friend class CellJob;

    TaskState state_ = TaskState::Queued;
};

/// A job at the owner of its cell, or the part of its tasks that this cell runs. Runs keep it alive by reference
/// counting.
class CellJob : public boost::intrusive::list_base_hook<>, public boost::intrusive_ref_counter<CellJob, boost::thread_unsafe_counter> {
public:
    CellJob(JobOffer, DaemonId entry, absl::Time now, double lateTolerance);

    const JobOffer& offer() const { return offer_; }
    const DaemonId& entry() const { return entry_; }
    absl::Time offeredAt() const { return offeredAt_; }
    /// End of the job's latency objective.
    absl::Time lateAt() const { return lateAt_; }
    /// Time after which no caller waits for the job.
    absl::Time timeoutAt() const { return timeoutAt_; }
    /// The job is started only if it is expected to end before this time.
    absl::Time usefulUntil() const { return usefulUntil_; }

    /// @param index of the task in the whole job, including the tasks that other cells run.
    CellTask& task(TaskIndex index) { return tasks_[index.value() - offer_.firstTask]; }
    void setState(TaskIndex, TaskState);
    bool hasTask(TaskIndex index) const { return index.value() >= offer_.firstTask && index.value() - offer_.firstTask < tasks_.size(); }
    size_t queuedCount() const { return queuedCount_; }
    bool isComplete() const { return doneCount_ == tasks_.size(); }
    /// @return the first queued task; unset if there is none.
    std::optional<TaskIndex> firstQueued();
    /// What its tasks run. All start orders share it.
    const std::shared_ptr<const std::string>& spec() const { return spec_; }
    /// Total work of the queued tasks in core-milliseconds, by the caller's estimate.
    int64_t queuedCoreMs() const;

    /// Whether a task may have run, under this owner or an earlier one. The job can't be rejected as not run then.
    bool mayHaveRun() const { return hasStarted || offer_.isTakeover || hasRunBefore; }

    /// The job's claim, see ClaimLimit; infinite past if none is known.
    absl::Time claimedAt = absl::InfinitePast();
    /// Whether a start order for any task may have been sent.
    bool hasStarted = false;
    absl::Time firstStart = absl::InfiniteFuture();
    /// Whether runs of an earlier submission or offer of the job may still be in progress; nothing starts until they have ended.
    bool hasEarlierRuns = false;
    /// Whether a task may have run by an earlier submission of the job.
    bool hasRunBefore = false;
    /// Whether the final result was sent to the entry; runs that end later change nothing.
    bool isResultSent = false;

private:
    JobOffer offer_;
    DaemonId entry_;
    absl::Time offeredAt_;
    absl::Time lateAt_;
    absl::Time timeoutAt_;
    absl::Time usefulUntil_;
    std::shared_ptr<const std::string> spec_;
    std::vector<CellTask> tasks_;
    size_t queuedCount_;
    size_t doneCount_ = 0;
    /// No task before this position is queued.
    size_t firstQueued_ = 0;
};

using CellJobPtr = boost::intrusive_ptr<CellJob>;

} // namespace trefoilwing
