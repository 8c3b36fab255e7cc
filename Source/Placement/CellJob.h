#pragma once

#include "Model/FleetMessages.h"

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <vector>

namespace trefoilwing {

enum class TaskState {
    Queued,
    /// A run of it may be going on.
    Active,
    Done,
};

struct CellTask {
    TaskState state = TaskState::Queued;
    uint32_t failures = 0;
    /// The minion of the latest failed or stalled run, which isn't tried next.
    MinionId avoided;
};

/// One job, or the part of it that runs here, at the owner of its cell. Runs hold on to it by its count.
class CellJob : public boost::intrusive::list_base_hook<>, public boost::intrusive_ref_counter<CellJob, boost::thread_unsafe_counter> {
public:
    CellJob(JobOffer, DaemonId entry, absl::Time now, double lateTolerance);

    const JobOffer& offer() const { return offer_; }
    const DaemonId& entry() const { return entry_; }
    absl::Time offeredAt() const { return offeredAt_; }
    /// The job is on time until then.
    absl::Time lateAt() const { return lateAt_; }
    /// Nobody waits for it after this.
    absl::Time givenUpAt() const { return givenUpAt_; }
    /// It isn't begun unless it is expected to end before this.
    absl::Time usefulUntil() const { return usefulUntil_; }

    /// @param index counts all of the job's tasks, also those that another cell runs.
    CellTask& task(TaskIndex index) { return tasks_[index.value() - offer_.firstTask]; }
    bool hasTask(TaskIndex index) const { return index.value() >= offer_.firstTask && index.value() - offer_.firstTask < tasks_.size(); }
    size_t queuedCount() const;
    bool isComplete() const;
    /// @return the index of a queued task, if any is left.
    const CellTask* firstQueued(TaskIndex& index) const;
    /// What the queued tasks need in all, in core-milliseconds by the caller's estimate.
    int64_t queuedCoreMs() const;

    /// Whether a task may have run, here or under an earlier owner: then the job can't be refused as not run.
    bool mayHaveRun() const { return hasStarted || offer_.isTakeover; }

    /// Whether a start of any task may have been sent.
    bool hasStarted = false;
    absl::Time firstStart = absl::InfiniteFuture();
    /// Whether runs of an earlier life of the job may go on; nothing starts before they are gone.
    bool hasEarlierRuns = false;
    /// Whether the entry has had the last word; runs that still end change nothing.
    bool isOver = false;

private:
    JobOffer offer_;
    DaemonId entry_;
    absl::Time offeredAt_;
    absl::Time lateAt_;
    absl::Time givenUpAt_;
    absl::Time usefulUntil_;
    std::vector<CellTask> tasks_;
};

using CellJobPtr = boost::intrusive_ptr<CellJob>;

} // namespace trefoilwing
