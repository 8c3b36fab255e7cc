#include "Placement/CellDispatcher.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

namespace trefoilwing {

namespace {

    /// A minion lists at most so many ends in one answer.
    constexpr size_t maxEndsListed = 500;

    /// Run numbers of one epoch. Numbers rise across owners, since epochs do, and stay below 2^53, which
    /// every JSON reader holds exactly.
    constexpr uint64_t runsPerEpoch = uint64_t { 1 } << 24U;

    /// Routes have a few priorities; those beyond this are told as one.
    constexpr size_t maxPrioritiesTold = 8;

    constexpr absl::Duration shortestRetryAfter = absl::Seconds(1);

    std::string_view failureName(OrderFailure failure)
    {
        static constexpr std::array<std::string_view, 10> names { "none", "not_sent", "no_answer", "fenced", "old_run",
            "lease_ended", "no_room", "other_life", "unhealthy", "refused" };
        return names.at(static_cast<size_t>(failure));
    }

    bool gotAnswer(OrderFailure failure)
    {
        return failure != OrderFailure::NotSent && failure != OrderFailure::NoAnswer;
    }

    std::string describe(const RunId& run)
    {
        return absl::StrCat("task=", run.task.value(), " run=", run.number.value());
    }

} // namespace

CellDispatcher::CellDispatcher(const CellGrant& grant, const DispatchPolicy& policy, const JobOrder& order, Random& random, absl::Time now)
    : grant_(grant)
    , policy_(policy)
    , order_(order)
    , random_(random)
    , ownedSince_(now)
    , chooser_(policy)
{
}

CellDispatcher::~CellDispatcher()
{
    jobs_.clear_and_dispose([](CellJob* job) { intrusive_ptr_release(job); });
}

// Minions.

void CellDispatcher::minionReported(const MinionReport& report, absl::Time now)
{
    std::unique_ptr<LeasedMinion>& minion = minions_[report.life.minion];
    if (minion && minion->life().birth > report.life.birth)
        return;
    if (minion && minion->life() == report.life) {
        if (report.sequence >= minion->report().sequence)
            minion->setReport(report);
    } else {
        if (minion)
            dropAllRuns(*minion, "minion_reborn");
        minion = std::make_unique<LeasedMinion>(report, policy_);
        note("minion_added", {}, report.life.minion, absl::StrCat("birth=", report.life.birth.value(), " cpu=", report.capacity.milliCores));
        hold(*minion, now);
    }
    place(now);
}

void CellDispatcher::minionLeft(const MinionLife& life, absl::Time now)
{
    const auto found = minions_.find(life.minion);
    if (found == minions_.end() || found->second->life() != life)
        return;
    dropAllRuns(*found->second, "minion_left");
    minions_.erase(found);
    place(now);
}

LeasedMinion* CellDispatcher::findMinion(const MinionLife& life)
{
    const auto found = minions_.find(life.minion);
    return found == minions_.end() || found->second->life() != life ? nullptr : found->second.get();
}

OrderHeader CellDispatcher::headerTo(const LeasedMinion& minion) const
{
    return { minion.life(), minion.report().endpoint, grant_.epoch };
}

bool CellDispatcher::isAllFenced(absl::Time now) const
{
    return now >= ownedSince_ + policy_.takeoverLimit
        || (areMinionsKnown_ && std::all_of(minions_.begin(), minions_.end(), [](const auto& entry) { return entry.second->isFenced; }));
}

bool CellDispatcher::isLookedAt(absl::Time now) const
{
    return now >= ownedSince_ + policy_.firstLook
        || std::all_of(minions_.begin(), minions_.end(), [](const auto& entry) { return entry.second->isFenced; });
}

bool CellDispatcher::isHoldDue(const LeasedMinion& minion, absl::Time now) const
{
    if (minion.holdSentAt || !minion.health.mayTry(now))
        return false;
    const bool isBusy = !minion.runs().empty() || !minion.isFenced || !minion.health.isReachable();
    const bool isUnacknowledged = minion.lastEnd > minion.acknowledgedEnd && now >= minion.endSeenAt + policy_.acknowledgeDelay;
    return isBusy || isUnacknowledged || now >= minion.lastHoldAt + policy_.idleHold;
}

void CellDispatcher::hold(LeasedMinion& minion, absl::Time now)
{
    const bool isBusy = !minion.runs().empty();
    HoldOrder order { headerTo(minion), 0, minion.lastEnd, absl::ZeroDuration() };
    // The runs of a minion that doesn't answer are left to their leases, so that they can start elsewhere.
    if (minion.knowsClock() && isBusy && minion.health.isReachable())
        order.leaseEndMs = minion.extendLease(now);
    if (isBusy && minion.isFenced && minion.health.isReachable())
        order.wait = policy_.holdWait;
    minion.holdSentAt = now;
    minion.holdSentEnd = minion.lastEnd;
    minion.lastHoldAt = now;
    ++totals_.holds;
    outbox_.orders.push_back(order);
}

void CellDispatcher::answeredBy(LeasedMinion& minion, OrderFailure failure, int64_t clockMs, absl::Time now)
{
    if (gotAnswer(failure)) {
        if (!minion.health.isReachable())
            note("minion_reachable", {}, minion.life().minion, "");
        minion.health.reached();
        minion.noteClock(clockMs, now);
    } else {
        const bool wasReachable = minion.health.isReachable();
        minion.health.missed(now);
        if (wasReachable && !minion.health.isReachable())
            note("minion_unreachable", {}, minion.life().minion, absl::StrCat("runs=", minion.runs().size()));
    }
    if (failure == OrderFailure::Fenced && !isSuperseded_) {
        isSuperseded_ = true;
        note("superseded", {}, minion.life().minion, absl::StrCat("epoch=", grant_.epoch.value()));
    }
}

// Jobs.

CellJob* CellDispatcher::findJob(const JobKey& key) const
{
    const auto found = jobsByKey_.find(key);
    return found == jobsByKey_.end() ? nullptr : found->second;
}

void CellDispatcher::entryHeard(const DaemonRun& entry, absl::Time now)
{
    entriesHeard_[entry.daemon] = now;
    // Lives are numbered from the run's own number, so lower ones belong to a run that has ended.
    std::vector<CellJobPtr> ended;
    for (CellJob& job : jobs_) {
        if (job.entry() == entry.daemon && job.offer().life < entry.incarnation.value())
            ended.emplace_back(&job);
    }
    for (const CellJobPtr& job : ended) {
        note("job_orphaned", job->offer().job, {}, absl::StrCat("restarted_entry=", entry.daemon.value()));
        finish(*job, JobEnd::GivenUp, now);
    }
}

void CellDispatcher::offered(const JobOffer& offer, const DaemonId& entry, absl::Time now)
{
    entriesHeard_[entry] = now;
    if (CellJob* earlier = findJob(offer.job)) {
        if (earlier->entry() == entry && earlier->offer().life == offer.life)
            return;
        // The caller came back with the same id: the earlier life is stopped before the new one begins.
        note("job_replaced", offer.job, {}, absl::StrCat("earlier_entry=", earlier->entry().value()));
        finish(*earlier, JobEnd::GivenUp, now);
    }
    CellJobPtr job(new CellJob(offer, entry, now, policy_.lateTolerance));
    job->hasEarlierRuns = mayHaveEarlierRuns(*job, now);
    intrusive_ptr_add_ref(job.get());
    jobs_.push_back(*job);
    jobsByKey_[offer.job] = job.get();
    if (offer.isTakeover)
        adoptRuns(*job, now);
    if (job->isOver)
        return;
    // What an earlier owner may have begun can't be refused as not run any more.
    if (!offer.isTakeover && !minions_.empty() && !couldEverHold(offer.need)) {
        note("job_impossible", offer.job, {}, absl::StrCat("cpu=", offer.need.milliCores, " memory_mb=", offer.need.memoryMb));
        finish(*job, JobEnd::Impossible, now);
        return;
    }
    const auto milliCores = static_cast<double>(offer.need.milliCores);
    usualMilliCores_ += (milliCores - usualMilliCores_) * (usualMilliCores_ > 0 ? policy_.needWeight : 1);
    const absl::Duration wait = expectedWait(*job, now);
    // With room at hand the estimate alone is no reason to refuse.
    if (!offer.isTakeover && wait > absl::ZeroDuration() && isHopeless(*job, now + wait)) {
        ++totals_.turnedDown;
        note("job_turned_down", offer.job, {}, absl::StrCat("reason=expected_wait wait_ms=", absl::ToInt64Milliseconds(wait), " estimate_ms=", absl::ToInt64Milliseconds(offer.estimate), " queued_jobs=", jobs_.size()));
        finish(*job, JobEnd::TurnedDown, now, retryAfter(wait));
        return;
    }
    place(now);
}

void CellDispatcher::cancelled(const JobCancel& cancel, const DaemonId& entry, absl::Time now)
{
    CellJob* job = findJob(cancel.job);
    if (!job || job->entry() != entry || job->offer().life != cancel.life)
        return;
    note("job_cancelled", cancel.job, {}, absl::StrCat("queued_tasks=", job->queuedCount()));
    // The entry may still be able to say that nothing of the job ran.
    finish(*job, job->hasStarted || job->offer().isTakeover ? JobEnd::GivenUp : JobEnd::TurnedDown, now, retryAfter(absl::ZeroDuration()));
    place(now);
}

void CellDispatcher::finish(CellJob& job, JobEnd end, absl::Time now, absl::Duration retryAfter)
{
    const CellJobPtr keep(&job);
    job.isOver = true;
    jobsByKey_.erase(job.offer().job);
    jobs_.erase(JobList::s_iterator_to(job));
    intrusive_ptr_release(&job);
    const absl::Duration queued = std::min(job.firstStart, now) - job.offeredAt();
    outbox_.messages.push_back({ job.entry(), JobEnded { job.offer().job, job.offer().life, end, retryAfter, queued } });
    if (!job.hasStarted)
        return;
    for (const auto& [id, minion] : minions_) {
        for (auto& [runId, run] : minion->runs()) {
            if (run.job == keep)
                stopRun(*minion, run, now);
        }
    }
}

bool CellDispatcher::couldEverHold(const Room& need) const
{
    return std::any_of(minions_.begin(), minions_.end(), [&](const auto& entry) { return entry.second->report().capacity.holds(need); });
}

bool CellDispatcher::isHopeless(const CellJob& job, absl::Time start) const
{
    return start + policy_.hopelessShare * job.offer().estimate > job.usefulUntil();
}

int64_t CellDispatcher::fillable(int64_t milliCores) const
{
    const auto usual = static_cast<int64_t>(usualMilliCores_);
    return usual > 0 ? milliCores / usual * usual : milliCores;
}

absl::Duration CellDispatcher::expectedWait(const CellJob& job, absl::Time now) const
{
    int64_t totalMilliCores = 0;
    int64_t fitting = 0;
    for (const auto& [id, minion] : minions_) {
        if (!minion->isUsable(now))
            continue;
        totalMilliCores += fillable(minion->report().capacity.milliCores);
        if (job.offer().need.milliCores > 0)
            fitting += minion->free().milliCores / job.offer().need.milliCores;
    }
    if (totalMilliCores == 0)
        return policy_.takeoverLimit;
    const double rank = order_.rank(job, now);
    int64_t aheadCoreMs = 0;
    for (const CellJob& other : jobs_) {
        if (&other != &job && order_.rank(other, now) <= rank)
            aheadCoreMs += other.queuedCoreMs();
    }
    const int64_t ownCoreMs = aheadCoreMs == 0 && fitting >= static_cast<int64_t>(job.queuedCount()) ? 0 : job.queuedCoreMs();
    return absl::Milliseconds((aheadCoreMs + ownCoreMs) * 1000 / totalMilliCores);
}

absl::Duration CellDispatcher::retryAfter(absl::Duration wait)
{
    // Spread over as long again, so that those turned down at once don't come back at once.
    const absl::Duration base = std::max(wait, shortestRetryAfter);
    return base + base * random_.unit();
}

void CellDispatcher::sweepJobs(absl::Time now)
{
    std::vector<CellJobPtr> ending;
    for (CellJob& job : jobs_) {
        const bool isTooLate = !job.hasStarted && isHopeless(job, now);
        if (isTooLate || now >= job.givenUpAt())
            ending.emplace_back(&job);
    }
    for (const CellJobPtr& job : ending) {
        const JobEnd end = job->hasStarted || job->offer().isTakeover ? JobEnd::GivenUp : JobEnd::TurnedDown;
        totals_.turnedDown += end == JobEnd::TurnedDown ? 1 : 0;
        note(end == JobEnd::GivenUp ? "job_given_up" : "job_turned_down", job->offer().job, {}, absl::StrCat("reason=out_of_time age_ms=", absl::ToInt64Milliseconds(now - job->offeredAt()), " queued_tasks=", job->queuedCount()));
        finish(*job, end, now, retryAfter(absl::ZeroDuration()));
    }
}

void CellDispatcher::giveUpEntries(absl::Time now)
{
    std::vector<CellJobPtr> orphans;
    for (CellJob& job : jobs_) {
        if (now - entriesHeard_[job.entry()] > policy_.entrySilence)
            orphans.emplace_back(&job);
    }
    for (const CellJobPtr& job : orphans) {
        note("job_orphaned", job->offer().job, {}, absl::StrCat("entry=", job->entry().value()));
        finish(*job, JobEnd::GivenUp, now);
    }
}

// Placing.

bool CellDispatcher::mayStart(const CellJob& job, absl::Time now) const
{
    // A run of an earlier owner may still go on at a minion that isn't fenced.
    return (!job.offer().isTakeover || isAllFenced(now)) && !job.hasEarlierRuns;
}

bool CellDispatcher::mayHaveEarlierRuns(const CellJob& job, absl::Time now) const
{
    return !job.offer().isTakeover && (!isLookedAt(now) || hasRunsOf(job.offer().job));
}

bool CellDispatcher::hasRunsOf(const JobKey& key) const
{
    return std::any_of(minions_.begin(), minions_.end(), [&](const auto& entry) {
        const auto& runs = entry.second->runs();
        return std::any_of(runs.begin(), runs.end(), [&](const auto& run) { return run.first.job == key; });
    }) || std::any_of(strayStarts_.begin(), strayStarts_.end(), [&](const StrayStart& stray) { return stray.job->offer().job == key; });
}

void CellDispatcher::place(absl::Time now)
{
    if (isSuperseded_)
        return;
    std::vector<std::pair<double, CellJob*>> queued;
    for (CellJob& job : jobs_) {
        if (job.hasEarlierRuns)
            job.hasEarlierRuns = mayHaveEarlierRuns(job, now);
        if (job.queuedCount() > 0 && mayStart(job, now))
            queued.emplace_back(order_.rank(job, now), &job);
    }
    std::sort(queued.begin(), queued.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    if (queued.size() > policy_.maxLooked)
        queued.resize(policy_.maxLooked);
    for (const auto& [rank, job] : queued) {
        // What can't end in time isn't begun: sweepJobs() turns it down.
        if (!job->hasStarted && job->offeredAt() < now && isHopeless(*job, now))
            continue;
        TaskIndex index;
        while (job->firstQueued(index) && placeTask(*job, index, now)) { }
    }
}

bool CellDispatcher::placeTask(CellJob& job, TaskIndex index, absl::Time now)
{
    CellTask& task = job.task(index);
    LeasedMinion* minion = chooser_.choose(minions_, job, task, now);
    if (!minion)
        return false;
    Run run;
    run.id = { job.offer().job, index, RunNumber(grant_.epoch.value() * runsPerEpoch + ++runCounter_) };
    run.job = &job;
    run.need = job.offer().need;
    run.startedAt = run.progressAt = now;
    outbox_.orders.push_back(StartOrder { headerTo(*minion), run.id, job.offer().spec, minion->extendLease(now) });
    minion->addRun(std::move(run));
    task.state = TaskState::Active;
    job.firstStart = std::min(job.firstStart, now);
    job.hasStarted = true;
    ++totals_.starts;
    return true;
}

// Runs.

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
        note(std::string(reason), id.job, minion.life().minion, describe(id));
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
    note("task_failed", job.offer().job, minion.life().minion, absl::StrCat("failures=", task.failures, " allowed=", job.offer().maxAttempts));
    if (task.failures >= job.offer().maxAttempts) {
        finish(job, JobEnd::Failed, now);
        return;
    }
    task.state = TaskState::Queued;
    task.avoided = minion.life().minion;
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
    case RunEnd::Lapsed:
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

void CellDispatcher::noteEarlyEnd(const EndedRow& row)
{
    earlyEnds_[row.run.job].push_back(row);
}

void CellDispatcher::adoptRuns(CellJob& job, absl::Time now)
{
    const CellJobPtr keep(&job);
    if (const auto ends = earlyEnds_.find(job.offer().job); ends != earlyEnds_.end()) {
        for (const EndedRow& row : ends->second) {
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

void CellDispatcher::takeEnded(LeasedMinion& minion, const HoldResult& result, absl::Time now)
{
    for (const EndedRow& row : result.ended) {
        if (row.number <= minion.lastEnd)
            continue;
        minion.lastEnd = row.number;
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

void CellDispatcher::takeRunning(LeasedMinion& minion, const HoldResult& result, absl::Time sentAt, absl::Time now)
{
    absl::flat_hash_map<RunId, uint32_t> listed;
    for (const RunningRow& row : result.running)
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
        note("run_vanished", id.job, minion.life().minion, describe(id));
        runEnded(minion, id, RunEnd::Lapsed, now);
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
            note("foreign_run_stopped", id.job, minion.life().minion, describe(id));
            stopRun(minion, run, now);
        } else if (run.state == RunState::Running && !run.isForeign && run.confirmedAt > run.progressAt + policy_.stallTime) {
            note("run_stalled", id.job, minion.life().minion, absl::StrCat(describe(id), " progress=", run.progress));
            if (run.job && !run.job->isOver)
                run.job->task(id.task).avoided = minion.life().minion;
            minion.health.failed(now);
            stopRun(minion, run, now);
        } else if (run.state == RunState::Stopping && run.goneAt == absl::InfiniteFuture() && now > run.stopSentAt + policy_.stopRepeat && minion.health.isReachable()) {
            stopRun(minion, run, now);
        }
    }
    for (const RunId& id : gone)
        runEnded(minion, id, RunEnd::Stopped, now);
}

// Answers.

void CellDispatcher::answered(const StartResult& result, absl::Time now)
{
    LeasedMinion* minion = findMinion(result.life);
    if (!minion)
        return;
    answeredBy(*minion, result.failure, result.clockMs, now);
    Run* run = minion->findRun(result.run);
    if (!run)
        return;
    if (result.failure == OrderFailure::None) {
        if (run->state == RunState::Starting)
            run->state = RunState::Running;
        run->confirmedAt = std::max(run->confirmedAt, now);
        return;
    }
    if (result.failure != OrderFailure::NoRoom)
        note("start_failed", result.run.job, result.life.minion, absl::StrCat(describe(result.run), " reason=", failureName(result.failure).data()));
    switch (result.failure) {
    case OrderFailure::NoAnswer:
        if (run->state == RunState::Starting)
            run->state = RunState::Doubtful;
        if (run->confirmedAt == absl::InfinitePast())
            stopRun(*minion, *run, now);
        break;
    case OrderFailure::OtherLife:
        dropAllRuns(*minion, "other_life");
        minions_.erase(result.life.minion);
        break;
    case OrderFailure::NoRoom:
        ++totals_.rejectedForRoom;
        minion->isFull = true;
        requeue(*minion, result.run);
        break;
    case OrderFailure::Unhealthy:
    case OrderFailure::Refused:
        minion->health.failed(now);
        requeue(*minion, result.run);
        break;
    default:
        requeue(*minion, result.run);
        break;
    }
    if (result.failure != OrderFailure::NoRoom)
        place(now);
}

void CellDispatcher::answered(const StopResult& result, absl::Time now)
{
    LeasedMinion* minion = findMinion(result.life);
    if (!minion)
        return;
    answeredBy(*minion, result.failure, result.clockMs, now);
    if (result.failure == OrderFailure::OtherLife) {
        dropAllRuns(*minion, "other_life");
        minions_.erase(result.life.minion);
        place(now);
        return;
    }
    Run* run = minion->findRun(result.run);
    if (run && result.failure == OrderFailure::None)
        run->goneAt = std::min(run->goneAt, now + policy_.stopTime);
}

void CellDispatcher::answered(const HoldResult& result, absl::Time now)
{
    LeasedMinion* minion = findMinion(result.life);
    if (!minion)
        return;
    const absl::Time sentAt = minion->holdSentAt.value_or(now);
    minion->holdSentAt.reset();
    answeredBy(*minion, result.failure, result.clockMs, now);
    if (result.failure == OrderFailure::OtherLife) {
        dropAllRuns(*minion, "other_life");
        minions_.erase(result.life.minion);
    } else if (result.failure == OrderFailure::None) {
        minion->isFenced = true;
        minion->isFull = false;
        minion->acknowledgedEnd = std::max(minion->acknowledgedEnd, minion->holdSentEnd);
        takeEnded(*minion, result, now);
        takeRunning(*minion, result, sentAt, now);
        sweepRuns(*minion, now);
    }
    place(now);
    if (minion = findMinion(result.life); minion && isHoldDue(*minion, now))
        hold(*minion, now);
}

void CellDispatcher::tick(absl::Time now)
{
    sweepStrayStarts(now);
    for (const auto& [id, minion] : minions_)
        sweepRuns(*minion, now);
    giveUpEntries(now);
    sweepJobs(now);
    place(now);
    if (isSuperseded_)
        return;
    for (const auto& [id, minion] : minions_) {
        if (isHoldDue(*minion, now))
            hold(*minion, now);
    }
    if (now > ownedSince_ + 2 * policy_.adoption)
        earlyEnds_.clear();
}

bool CellDispatcher::isIdle() const
{
    return jobs_.empty() && std::all_of(minions_.begin(), minions_.end(), [](const auto& entry) {
        const LeasedMinion& minion = *entry.second;
        return minion.isFenced && minion.runs().empty() && minion.health.isReachable() && minion.lastEnd == minion.acknowledgedEnd;
    });
}

CellLoad CellDispatcher::load(absl::Time now) const
{
    CellLoad load { grant_, 0, 0, {}, 0 };
    for (const auto& [id, minion] : minions_) {
        if (!minion->isUsable(now))
            continue;
        load.totalMilliCores += fillable(minion->report().capacity.milliCores);
        load.freeMilliCores += fillable(std::max<int64_t>(0, minion->free().milliCores));
        load.endsPerSecond += minion->endsPerSecond();
    }
    for (const CellJob& job : jobs_) {
        const auto queued = static_cast<uint32_t>(job.queuedCount());
        if (queued == 0)
            continue;
        const size_t priority = std::min<size_t>(job.offer().priority, maxPrioritiesTold - 1);
        load.queuedTasks.resize(std::max(load.queuedTasks.size(), priority + 1));
        load.queuedTasks[priority] += queued;
    }
    return load;
}

void CellDispatcher::note(std::string name, const JobKey& job, const MinionId& minion, std::string detail)
{
    const CellJob* known = findJob(job);
    outbox_.events.push_back({ std::move(name), job, known ? known->offer().requestId : std::string(), minion, std::move(detail) });
}

} // namespace trefoilwing
