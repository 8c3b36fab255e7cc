// The runs of a CellDispatcher: how they end, stops, and what an earlier owner left.

#include "Placement/CellDispatcher.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace trefoilwing {

namespace {

    /// A minion lists at most so many ends in one answer.
    constexpr size_t maxEndsListed = 500;

} // namespace

void CellDispatcher::stopRun(LeasedMinion& minion, Run& run, absl::Time now)
{
    run.state = RunState::Stopping;
    run.stopSentAt = now;
    outbox_.orders.push_back(StopOrder { headerTo(minion), run.id });
}

void CellDispatcher::requeue(LeasedMinion& minion, const RunId& id)
{
    Run* run = minion.findRun(id);
    if (!run)
        return;
    const CellJobPtr job = run->job;
    minion.removeRun(id);
    if (job && !job->isOver)
        job->task(id.task).state = TaskState::Queued;
}

void CellDispatcher::dropAllRuns(LeasedMinion& minion, std::string_view reason)
{
    std::vector<RunId> ids;
    for (const auto& [id, run] : minion.runs())
        ids.push_back(id);
    for (const RunId& id : ids) {
        note(std::string(reason), id.job, minion.instance().minion, describe(id));
        const Run& run = *minion.findRun(id);
        // A start that was meant for this life may have been taken by the next one, if this one never listed it.
        if (run.listedAt == absl::InfinitePast() && run.job) {
            strayStarts_.push_back({ run.job, id.task, minion.leaseOverAt() });
            minion.removeRun(id);
        } else {
            requeue(minion, id);
        }
        ++totals_.lapsed;
    }
}

void CellDispatcher::sweepStrayStarts(absl::Time now)
{
    std::erase_if(strayStarts_, [&](const StrayStart& stray) {
        if (now <= stray.overAt)
            return false;
        if (!stray.job->isOver)
            stray.job->task(stray.task).state = TaskState::Queued;
        return true;
    });
}

void CellDispatcher::taskFailed(LeasedMinion& minion, CellJob& job, CellTask& task, absl::Time now)
{
    ++task.failures;
    if (task.failures == 1)
        minion.health.failed(now);
    note("task_failed", job.offer().job, minion.instance().minion, absl::StrCat("failures=", task.failures, " allowed=", job.offer().maxAttempts));
    if (task.failures >= job.offer().maxAttempts) {
        finish(job, JobEnd::Failed, now);
        return;
    }
    task.state = TaskState::Queued;
    task.avoided = minion.instance().minion;
}

void CellDispatcher::runEnded(LeasedMinion& minion, const RunId& id, RunEnd end, absl::Time now)
{
    Run* run = minion.findRun(id);
    if (!run)
        return;
    const CellJobPtr job = run->job;
    const absl::Duration taken = now - run->startedAt;
    const bool wasStalled = run->state == RunState::Stopping;
    minion.removeRun(id);
    switch (end) {
    case RunEnd::Done:
        ++totals_.done;
        minion.health.worked();
        break;
    case RunEnd::Failed:
        ++totals_.failed;
        break;
    case RunEnd::Stopped:
        ++totals_.stopped;
        break;
    case RunEnd::LeaseExpired:
        ++totals_.lapsed;
        break;
    }
    if (!job || job->isOver)
        return;
    CellTask& task = job->task(id.task);
    if (end == RunEnd::Done) {
        if (!wasStalled)
            minion.noteRunTime(job->offer().estimate, taken);
        task.state = TaskState::Done;
        if (job->isComplete())
            finish(*job, JobEnd::Completed, now);
    } else if (end == RunEnd::Failed) {
        taskFailed(minion, *job, task, now);
    } else {
        task.state = TaskState::Queued;
    }
}

void CellDispatcher::noteEarlyEnd(const EndedRun& row)
{
    earlyEnds_[row.run.job].push_back(row);
}

void CellDispatcher::adoptRuns(CellJob& job, absl::Time now)
{
    const CellJobPtr keep(&job);
    if (const auto ends = earlyEnds_.find(job.offer().job); ends != earlyEnds_.end()) {
        for (const EndedRun& row : ends->second) {
            if (!job.hasTask(row.run.task))
                continue;
            job.hasStarted = true;
            CellTask& task = job.task(row.run.task);
            if (row.end == RunEnd::Done)
                task.state = TaskState::Done;
            else if (row.end == RunEnd::Failed)
                ++task.failures;
        }
        earlyEnds_.erase(ends);
    }
    for (const auto& [minionId, minion] : minions_) {
        std::vector<RunId> adopted;
        for (const auto& [id, run] : minion->runs()) {
            if (run.isForeign && id.job == job.offer().job && job.hasTask(id.task) && job.task(id.task).state == TaskState::Queued)
                adopted.push_back(id);
        }
        for (const RunId& id : adopted) {
            Run run = *minion->findRun(id);
            minion->removeRun(id);
            run.job = &job;
            run.need = job.offer().need;
            run.isForeign = false;
            run.progressAt = now;
            minion->addRun(std::move(run));
            job.task(id.task).state = TaskState::Active;
            job.hasStarted = true;
            note("run_adopted", id.job, minionId, describe(id));
        }
    }
    if (job.isComplete())
        finish(job, JobEnd::Completed, now);
}

void CellDispatcher::takeEnded(LeasedMinion& minion, const RenewResult& result, absl::Time now)
{
    for (const EndedRun& row : result.ended) {
        if (row.number <= minion.lastEndNumber)
            continue;
        minion.lastEndNumber = row.number;
        minion.endSeenAt = now;
        if (minion.findRun(row.run) && !minion.findRun(row.run)->isForeign)
            runEnded(minion, row.run, row.end, now);
        else {
            minion.removeRun(row.run);
            CellJob* job = findJob(row.run.job);
            if (job && job->offer().isTakeover && job->hasTask(row.run.task) && job->task(row.run.task).state == TaskState::Queued && row.end == RunEnd::Done) {
                job->task(row.run.task).state = TaskState::Done;
                if (job->isComplete())
                    finish(*job, JobEnd::Completed, now);
            } else if (!job && now < ownedSince_ + policy_.adoption)
                noteEarlyEnd(row);
        }
    }
}

void CellDispatcher::takeRunning(LeasedMinion& minion, const RenewResult& result, absl::Time sentAt, absl::Time now)
{
    absl::flat_hash_map<RunId, uint32_t> listed;
    for (const RunProgress& row : result.running)
        listed[row.run] = row.progress;
    for (const auto& [id, progress] : listed) {
        Run* run = minion.findRun(id);
        if (!run) {
            Run foreign;
            foreign.id = id;
            foreign.state = RunState::Running;
            foreign.startedAt = foreign.progressAt = now;
            foreign.isForeign = true;
            run = &minion.addRun(std::move(foreign));
            CellJob* job = findJob(id.job);
            if (job && job->offer().isTakeover)
                adoptRuns(*job, now);
            run = minion.findRun(id);
        }
        if (!run)
            continue;
        run->confirmedAt = run->listedAt = now;
        if (run->state == RunState::Starting || run->state == RunState::Doubtful)
            run->state = RunState::Running;
        if (progress != run->progress) {
            run->progress = progress;
            run->progressAt = now;
        }
    }
    if (result.ended.size() >= maxEndsListed)
        return;
    std::vector<RunId> missing;
    for (const auto& [id, run] : minion.runs()) {
        if (run.confirmedAt < sentAt && run.confirmedAt != absl::InfinitePast() && !listed.contains(id))
            missing.push_back(id);
    }
    for (const RunId& id : missing) {
        note("run_vanished", id.job, minion.instance().minion, describe(id));
        runEnded(minion, id, RunEnd::LeaseExpired, now);
    }
}

void CellDispatcher::sweepRuns(LeasedMinion& minion, absl::Time now)
{
    if (!minion.health.isReachable() && now > minion.leaseOverAt() && !minion.runs().empty()) {
        dropAllRuns(minion, "lease_over");
        return;
    }
    std::vector<RunId> gone;
    for (auto& [id, run] : minion.runs()) {
        if (now >= run.goneAt) {
            gone.push_back(id);
        } else if (run.isForeign && run.state == RunState::Running && now > ownedSince_ + policy_.adoption) {
            note("foreign_run_stopped", id.job, minion.instance().minion, describe(id));
            stopRun(minion, run, now);
        } else if (run.state == RunState::Running && !run.isForeign && run.confirmedAt > run.progressAt + policy_.stallTime) {
            note("run_stalled", id.job, minion.instance().minion, absl::StrCat(describe(id), " progress=", run.progress));
            if (run.job && !run.job->isOver)
                run.job->task(id.task).avoided = minion.instance().minion;
            minion.health.failed(now);
            stopRun(minion, run, now);
        } else if (run.state == RunState::Stopping && run.goneAt == absl::InfiniteFuture() && now > run.stopSentAt + policy_.stopRepeat && minion.health.isReachable()) {
            stopRun(minion, run, now);
        }
    }
    for (const RunId& id : gone)
        runEnded(minion, id, RunEnd::Stopped, now);
}

} // namespace trefoilwing
