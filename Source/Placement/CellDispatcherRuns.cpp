// The part of CellDispatcher that handles runs: ends, stops, and the runs left by an earlier owner.

#include "Placement/CellDispatcher.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace trefoilwing {

namespace {

    /// Maximum number of ended runs that a minion lists in one answer.
    constexpr size_t maxListedEnds = 500;

} // namespace

void CellDispatcher::sendStart(LeasedMinion& minion, Run& run)
{
    ++run.startOrders;
    ++run.startsInFlight;
    ++startsInFlight_;
    outbox_.orders.push_back(StartOrder { headerTo(minion), run.id, run.job->spec(), run.leaseEndMs });
}

bool CellDispatcher::isStartRepeatDue(const LeasedMinion& minion, const Run& run, absl::Time now) const
{
    return run.state == RunState::Starting && run.startOrders == 1 && run.job && !run.job->isResultSent && !isSuperseded_ && minion.health.isReachable()
        && now > std::max(run.startedAt, resumedAt_) + policy_.startRepeatDelay;
}

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
    if (job && !job->isResultSent)
        job->setState(id.task, TaskState::Queued);
}

void CellDispatcher::removeAllRuns(LeasedMinion& minion, std::string_view reason)
{
    std::vector<RunId> ids;
    for (const auto& [id, run] : minion.runs())
        ids.push_back(id);
    for (const RunId& id : ids) {
        logEvent(std::string(reason), id.job, minion.instance().minion, describe(id));
        const Run& run = *minion.findRun(id);
        // If this instance never listed the run, or a repeated start is under way, the next one may receive the order instead.
        if ((run.listedAt == absl::InfinitePast() || run.startsInFlight > 0) && run.job) {
            unlistedStarts_.push_back({ run.job, id.task, minion.newInstanceLeasesExpireBy() });
            minion.removeRun(id);
        } else {
            requeue(minion, id);
        }
        ++totals_.leaseExpired;
    }
}

void CellDispatcher::sweepUnlistedStarts(absl::Time now)
{
    std::erase_if(unlistedStarts_, [&](const UnlistedStart& unlisted) {
        if (now <= unlisted.leaseExpiresBy)
            return false;
        if (!unlisted.job->isResultSent)
            unlisted.job->setState(unlisted.task, TaskState::Queued);
        return true;
    });
}

void CellDispatcher::taskFailed(LeasedMinion& minion, CellJob& job, TaskIndex index, absl::Time now)
{
    CellTask& task = job.task(index);
    ++task.failures;
    if (task.failures == 1)
        minion.health.runFailed(now);
    logEvent("task_failed", job.offer().job, minion.instance().minion, absl::StrCat("failures=", task.failures, " allowed=", job.offer().maxAttempts));
    if (task.failures >= job.offer().maxAttempts) {
        finish(job, JobEnd::Failed, now);
        return;
    }
    job.setState(index, TaskState::Queued);
    task.avoidedMinion = minion.instance().minion;
}

void CellDispatcher::runEnded(LeasedMinion& minion, const RunId& id, RunEnd end, absl::Time now)
{
    Run* run = minion.findRun(id);
    if (!run)
        return;
    const CellJobPtr job = run->job;
    const absl::Duration taken = now - run->startedAt;
    const bool wasStalled = run->state == RunState::Stopping;
    if (policy_.avoidsInterference) {
        minion.recordCompany(now);
        if (job && end == RunEnd::Done && !wasStalled)
            interference_->runEnded(minion, *run, minion.expectedTime(job->offer().estimate), taken, now);
    }
    minion.removeRun(id);
    switch (end) {
    case RunEnd::Done:
        ++totals_.done;
        minion.health.runSucceeded();
        break;
    case RunEnd::Failed:
        ++totals_.failed;
        break;
    case RunEnd::Stopped:
        ++totals_.stopped;
        break;
    case RunEnd::LeaseExpired:
        ++totals_.leaseExpired;
        break;
    }
    if (!job || job->isResultSent)
        return;
    if (end == RunEnd::Done) {
        if (!wasStalled)
            minion.recordRunTime(job->offer().estimate, taken);
        job->setState(id.task, TaskState::Done);
        if (job->isComplete())
            finish(*job, JobEnd::Completed, now);
    } else if (end == RunEnd::Failed) {
        taskFailed(minion, *job, id.task, now);
    } else {
        job->setState(id.task, TaskState::Queued);
    }
}

void CellDispatcher::storeUnclaimedEnd(const EndedRun& endedRun)
{
    unclaimedEnds_[endedRun.run.job].push_back(endedRun);
}

void CellDispatcher::adoptRuns(CellJob& job, absl::Time now)
{
    const CellJobPtr keep(&job);
    if (const auto ends = unclaimedEnds_.find(job.offer().job); ends != unclaimedEnds_.end()) {
        for (const EndedRun& endedRun : ends->second) {
            if (!job.hasTask(endedRun.run.task))
                continue;
            job.hasStarted = true;
            if (endedRun.end == RunEnd::Done)
                job.setState(endedRun.run.task, TaskState::Done);
            else if (endedRun.end == RunEnd::Failed)
                ++job.task(endedRun.run.task).failures;
        }
        unclaimedEnds_.erase(ends);
    }
    for (const auto& [minionId, minion] : minions_) {
        std::vector<RunId> adopted;
        for (const auto& [id, run] : minion->runs()) {
            if (run.isInherited && id.job == job.offer().job && job.hasTask(id.task) && job.task(id.task).state() == TaskState::Queued)
                adopted.push_back(id);
        }
        for (const RunId& id : adopted) {
            Run run = *minion->findRun(id);
            minion->removeRun(id);
            run.job = &job;
            run.need = job.offer().need;
            run.isInherited = false;
            run.progressAt = now;
            minion->addRun(std::move(run));
            job.setState(id.task, TaskState::Active);
            job.hasStarted = true;
            logEvent("run_adopted", id.job, minionId, describe(id));
        }
    }
    if (job.isComplete())
        finish(job, JobEnd::Completed, now);
}

void CellDispatcher::applyEndedRuns(LeasedMinion& minion, const RenewResult& result, absl::Time now)
{
    for (const EndedRun& endedRun : result.ended) {
        if (endedRun.number <= minion.lastEndNumber)
            continue;
        minion.lastEndNumber = endedRun.number;
        minion.lastEndAt = now;
        if (minion.findRun(endedRun.run) && !minion.findRun(endedRun.run)->isInherited)
            runEnded(minion, endedRun.run, endedRun.end, now);
        else {
            minion.removeRun(endedRun.run);
            CellJob* job = findJob(endedRun.run.job);
            if (job && job->offer().isTakeover && job->hasTask(endedRun.run.task) && job->task(endedRun.run.task).state() == TaskState::Queued && endedRun.end == RunEnd::Done) {
                job->setState(endedRun.run.task, TaskState::Done);
                if (job->isComplete())
                    finish(*job, JobEnd::Completed, now);
            } else if (!job && now < ownedSince_ + policy_.adoptionPeriod)
                storeUnclaimedEnd(endedRun);
        }
    }
}

void CellDispatcher::applyRunningRuns(LeasedMinion& minion, const RenewResult& result, absl::Time sentAt, absl::Time now)
{
    absl::flat_hash_map<RunId, uint32_t> listed;
    for (const RunProgress& each : result.running)
        listed[each.run] = each.progress;
    std::vector<CellJobPtr> adopting;
    for (const auto& [id, progress] : listed) {
        Run* run = minion.findRun(id);
        if (!run) {
            Run inherited;
            inherited.id = id;
            inherited.state = RunState::Running;
            inherited.startedAt = inherited.progressAt = now;
            inherited.isInherited = true;
            minion.inheritLease(now);
            run = &minion.addRun(std::move(inherited));
            CellJob* job = findJob(id.job);
            if (job && job->offer().isTakeover && std::find(adopting.begin(), adopting.end(), job) == adopting.end())
                adopting.emplace_back(job);
        }
        run->confirmedAt = run->listedAt = now;
        if (run->state == RunState::Starting || run->state == RunState::Unconfirmed)
            run->state = RunState::Running;
        if (progress != run->progress) {
            run->progress = progress;
            run->progressAt = now;
        }
    }
    for (const CellJobPtr& job : adopting)
        adoptRuns(*job, now);
    if (result.ended.size() >= maxListedEnds)
        return;
    std::vector<RunId> missing;
    for (const auto& [id, run] : minion.runs()) {
        if (run.confirmedAt < sentAt && run.confirmedAt != absl::InfinitePast() && !listed.contains(id))
            missing.push_back(id);
    }
    for (const RunId& id : missing) {
        logEvent("run_vanished", id.job, minion.instance().minion, describe(id));
        runEnded(minion, id, RunEnd::LeaseExpired, now);
    }
}

bool CellDispatcher::isAdoptionOver(const LeasedMinion& minion, const Run& run, absl::Time now) const
{
    if (!run.isInherited || run.state != RunState::Running)
        return false;
    const bool sharesLease = std::any_of(minion.runs().begin(), minion.runs().end(), [](const auto& each) { return each.second.job != nullptr; });
    return now > ownedSince_ + (sharesLease ? policy_.sharedAdoptionPeriod : policy_.adoptionPeriod);
}

void CellDispatcher::sweepRuns(LeasedMinion& minion, absl::Time now)
{
    minion.refreshClaims();
    const bool mayExpire = !minion.health.isReachable() || minion.drainedBy;
    if (mayExpire && now > minion.leasesExpireBy() && !minion.runs().empty()) {
        removeAllRuns(minion, "lease_over");
        return;
    }
    std::vector<RunId> finished;
    for (auto& [id, run] : minion.runs()) {
        if (now >= run.endsBy) {
            finished.push_back(id);
        } else if (isStartRepeatDue(minion, run, now)) {
            ++totals_.repeatedStarts;
            sendStart(minion, run);
        } else if (isAdoptionOver(minion, run, now)) {
            logEvent("foreign_run_stopped", id.job, minion.instance().minion, describe(id));
            stopRun(minion, run, now);
        } else if (run.state == RunState::Running && !run.isInherited && run.confirmedAt > run.progressAt + policy_.stallTimeout) {
            logEvent("run_stalled", id.job, minion.instance().minion, absl::StrCat(describe(id), " progress=", run.progress));
            if (run.job && !run.job->isResultSent)
                run.job->task(id.task).avoidedMinion = minion.instance().minion;
            minion.health.runFailed(now);
            stopRun(minion, run, now);
        } else if (run.state == RunState::Stopping && run.endsBy == absl::InfiniteFuture() && now > run.stopSentAt + policy_.stopRetryInterval && minion.health.isReachable()) {
            stopRun(minion, run, now);
        }
    }
    for (const RunId& id : finished)
        runEnded(minion, id, RunEnd::Stopped, now);
}

} // namespace trefoilwing
