// The jobs of a CellDispatcher: admission, what becomes of them, and placing.

#include "Placement/CellDispatcher.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace trefoilwing {

namespace {

    /// Run numbers of one epoch. Numbers rise across owners, since epochs do, and stay below 2^53, which
    /// every JSON reader holds exactly.
    constexpr uint64_t runsPerEpoch = uint64_t { 1 } << 24U;

    constexpr absl::Duration shortestRetryAfter = absl::Seconds(1);

} // namespace

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
        if (job.entry() == entry.daemon && job.offer().offerNumber < entry.incarnation.value())
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
        if (earlier->entry() == entry && earlier->offer().offerNumber == offer.offerNumber)
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
        finish(*job, JobEnd::Rejected, now, retryAfter(wait));
        return;
    }
    place(now);
}

void CellDispatcher::cancelled(const JobCancel& cancel, const DaemonId& entry, absl::Time now)
{
    CellJob* job = findJob(cancel.job);
    if (!job || job->entry() != entry || job->offer().offerNumber != cancel.offerNumber)
        return;
    note("job_cancelled", cancel.job, {}, absl::StrCat("queued_tasks=", job->queuedCount()));
    // The entry may still be able to say that nothing of the job ran.
    finish(*job, job->mayHaveRun() ? JobEnd::GivenUp : JobEnd::Rejected, now, retryAfter(absl::ZeroDuration()));
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
    outbox_.messages.push_back({ job.entry(), JobResult { job.offer().job, job.offer().offerNumber, end, retryAfter, queued } });
    if (!job.hasStarted)
        return;
    for (const auto& [id, minion] : minions_) {
        for (auto& [runId, run] : minion->runs()) {
            if (run.job == keep)
                stopRun(*minion, run, now);
        }
    }
}

bool CellDispatcher::couldEverHold(const ResourceVector& need) const
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
        const JobEnd end = job->mayHaveRun() ? JobEnd::GivenUp : JobEnd::Rejected;
        totals_.turnedDown += end == JobEnd::Rejected ? 1 : 0;
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
    // At a crest most jobs have no room, and looking for it at each minion would cost minions times jobs.
    ResourceVector mostFree = queued.empty() ? ResourceVector {} : MinionChooser::mostFree(minions_, now);
    for (const auto& [rank, job] : queued) {
        // What can't end in time isn't begun: sweepJobs() turns it down.
        if (!job->hasStarted && job->offeredAt() < now && isHopeless(*job, now))
            continue;
        TaskIndex index;
        while (job->firstQueued(index) && mostFree.holds(job->offer().need)) {
            if (placeTask(*job, index, now))
                continue;
            mostFree = MinionChooser::mostFree(minions_, now);
            break;
        }
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

} // namespace trefoilwing
