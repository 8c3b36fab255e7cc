// The part of CellDispatcher that handles jobs: admission, results and placement.

#include "Placement/CellDispatcher.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <numeric>
#include <optional>

namespace trefoilwing {

namespace {

    /// Maximum number of runs in one epoch. The epoch forms the upper part of a run number, so that numbers rise across
    /// owners; they stay below 2^53, up to which every JSON reader represents integers exactly.
    constexpr uint64_t maxRunsPerEpoch = uint64_t { 1 } << 24U;

    constexpr absl::Duration minRetryAfter = absl::Seconds(1);

    /// Maximum age of a claim that is logged; an unknown one is logged as this.
    constexpr absl::Duration maxLoggedAge = absl::Hours(1);

} // namespace

CellJob* CellDispatcher::findJob(const JobKey& key) const
{
    const auto found = jobsByKey_.find(key);
    return found == jobsByKey_.end() ? nullptr : found->second;
}

absl::Time CellDispatcher::claimTime(const std::optional<OwnerStamp>& stamp, absl::Time now) const
{
    if (!stamp)
        return absl::InfinitePast();
    if (stamp->owner == Incarnation(0))
        return now;
    return stamp->owner == grant_.owner.incarnation ? stamp->sentAt : absl::InfinitePast();
}

void CellDispatcher::entryHeartbeatReceived(const DaemonRun& entry, const std::optional<JobClaims>& claims, absl::Time now)
{
    entryContacts_[entry.daemon] = now;
    const absl::Time claimedAt = claims ? claimTime(claims->stamp, now) : absl::InfinitePast();
    const auto isClaimed = [&](const CellJob& job) {
        return claims && (claims->stamp.owner == Incarnation(0) || std::binary_search(claims->offerNumbers.begin(), claims->offerNumbers.end(), job.offer().offerNumber));
    };
    // An entry numbers its offers from its incarnation upwards, so lower numbers belong to an earlier incarnation.
    std::vector<CellJobPtr> ended;
    for (CellJob& job : jobs_) {
        if (job.entry() != entry.daemon)
            continue;
        if (job.offer().offerNumber < entry.incarnation.value())
            ended.emplace_back(&job);
        else if (isClaimed(job) && !isClaimOver(job, now))
            job.claimedAt = std::max(job.claimedAt, claimedAt);
    }
    for (const CellJobPtr& job : ended) {
        logEvent("job_orphaned", job->offer().job, {}, absl::StrCat("restarted_entry=", entry.daemon.value()));
        finish(*job, JobEnd::GivenUp, now);
    }
}

void CellDispatcher::offered(const JobOffer& offer, const DaemonId& entry, absl::Time now)
{
    entryContacts_[entry] = now;
    // Entries of earlier versions, which name no grant, cancel an offer and make it again under the same number.
    if (offer.epoch != OwnerEpoch(0) && earlyCancels_.erase({ entry, offer.offerNumber }) > 0) {
        endUnopened(offer, entry, "job_cancelled", offer.isTakeover ? JobEnd::GivenUp : JobEnd::Rejected);
        return;
    }
    const absl::Time claimedAt = claimTime(offer.stamp, now);
    bool hasRunBefore = false;
    if (CellJob* earlier = findJob(offer.job)) {
        if (earlier->entry() == entry && earlier->offer().offerNumber == offer.offerNumber)
            return;
        if (isLateOffer(offer, *earlier, claimedAt, now)) {
            endUnopened(offer, entry, "offer_late", JobEnd::GivenUp);
            return;
        }
        hasRunBefore = earlier->mayHaveRun();
        // The caller submitted the same id again: the earlier submission is stopped before the new one starts.
        logEvent("job_replaced", offer.job, {}, absl::StrCat("earlier_entry=", earlier->entry().value()));
        finish(*earlier, JobEnd::GivenUp, now);
    }
    CellJobPtr job(new CellJob(offer, entry, now, policy_.lateTolerance));
    job->claimedAt = claimedAt;
    job->hasEarlierRuns = mayHaveEarlierRuns(*job, now);
    job->hasRunBefore = hasRunBefore || hasOtherRunsOf(*job);
    intrusive_ptr_add_ref(job.get());
    jobs_.push_back(*job);
    jobsByKey_[offer.job] = job.get();
    if (offer.isTakeover)
        adoptRuns(*job, now);
    if (job->isResultSent)
        return;
    // A job that an earlier owner may have started can't be rejected as not run.
    if (!offer.isTakeover && !minions_.empty() && !fitsAnyMinion(offer.need)) {
        logEvent("job_impossible", offer.job, {}, absl::StrCat("cpu=", offer.need.milliCores, " memory_mb=", offer.need.memoryMb));
        finish(*job, job->mayHaveRun() ? JobEnd::GivenUp : JobEnd::Impossible, now);
        return;
    }
    if (isEvacuated_) {
        endEvacuatedJobs(now);
        return;
    }
    if (!offer.isTakeover && exceedsQueueLimit(*job)) {
        ++totals_.rejectedJobs;
        logEvent("job_turned_down", offer.job, {}, absl::StrCat("reason=queue_limit tasks=", offer.taskCount, " queued_jobs=", jobs_.size()));
        finish(*job, job->mayHaveRun() ? JobEnd::GivenUp : JobEnd::Rejected, now, retryAfter(expectedWait(*job, now)), RejectionReason::ExpectedWait);
        return;
    }
    const auto milliCores = static_cast<double>(offer.need.milliCores);
    averageMilliCores_ += (milliCores - averageMilliCores_) * (averageMilliCores_ > 0 ? policy_.needWeight : 1);
    const absl::Duration wait = expectedWait(*job, now);
    // If the job can start at once, its estimate alone is no reason to reject it.
    if (!offer.isTakeover && wait > absl::ZeroDuration() && cannotEndInTime(*job, now + wait)) {
        ++totals_.rejectedJobs;
        logEvent("job_turned_down", offer.job, {}, absl::StrCat("reason=expected_wait wait_ms=", absl::ToInt64Milliseconds(wait), " estimate_ms=", absl::ToInt64Milliseconds(offer.estimate), " queued_jobs=", jobs_.size()));
        finish(*job, job->mayHaveRun() ? JobEnd::GivenUp : JobEnd::Rejected, now, retryAfter(wait), RejectionReason::ExpectedWait);
        return;
    }
    place(now);
}

bool CellDispatcher::isLateOffer(const JobOffer& offer, const CellJob& open, absl::Time claimedAt, absl::Time now) const
{
    return !offer.isTakeover && offer.stamp && claimedAt < open.claimedAt && !claimLimit_.allowsStart(claimLimit_.endOf(claimedAt), now);
}

void CellDispatcher::endUnopened(const JobOffer& offer, const DaemonId& entry, std::string event, JobEnd end)
{
    logEvent(std::move(event), offer.job, {}, absl::StrCat("entry=", entry.value(), " offer=", offer.offerNumber));
    outbox_.messages.push_back({ entry, JobResult { offer.job, offer.offerNumber, end, {}, {} } });
}

void CellDispatcher::cancelled(const JobCancel& cancel, const DaemonId& entry, absl::Time now)
{
    CellJob* job = findJob(cancel.job);
    if (!job || job->entry() != entry || job->offer().offerNumber != cancel.offerNumber) {
        earlyCancels_[{ entry, cancel.offerNumber }] = now;
        return;
    }
    logEvent("job_cancelled", cancel.job, {}, absl::StrCat("queued_tasks=", job->queuedCount()));
    // If no task has run here, the entry may still be able to report that no part of the job ran.
    finish(*job, job->mayHaveRun() ? JobEnd::GivenUp : JobEnd::Rejected, now, retryAfter(absl::ZeroDuration()));
    place(now);
}

void CellDispatcher::finish(CellJob& job, JobEnd end, absl::Time now, absl::Duration retryAfter, RejectionReason reason)
{
    const CellJobPtr keep(&job);
    job.isResultSent = true;
    jobsByKey_.erase(job.offer().job);
    jobs_.erase(JobList::s_iterator_to(job));
    intrusive_ptr_release(&job);
    const absl::Duration queued = std::min(job.firstStart, now) - job.offeredAt();
    outbox_.messages.push_back({ job.entry(), JobResult { job.offer().job, job.offer().offerNumber, end, retryAfter, queued, end == JobEnd::Rejected ? reason : RejectionReason::Unstated } });
    if (!job.hasStarted)
        return;
    for (const auto& [id, minion] : minions_) {
        for (auto& [runId, run] : minion->runs()) {
            if (run.job == keep)
                stopRun(*minion, run, now);
        }
    }
}

bool CellDispatcher::fitsAnyMinion(const ResourceVector& need) const
{
    return std::any_of(minions_.begin(), minions_.end(), [&](const auto& entry) { return entry.second->report().capacity.holds(need); });
}

bool CellDispatcher::cannotEndInTime(const CellJob& job, absl::Time start) const
{
    return start + policy_.minRemainingFraction * job.offer().estimate > job.usefulUntil();
}

int64_t CellDispatcher::usableMilliCores(int64_t milliCores) const
{
    const auto average = static_cast<int64_t>(averageMilliCores_);
    return average > 0 ? milliCores / average * average : milliCores;
}

absl::Duration CellDispatcher::expectedWait(const CellJob& job, absl::Time now) const
{
    int64_t totalMilliCores = 0;
    int64_t fitting = 0;
    for (const auto& [id, minion] : minions_) {
        if (!minion->isUsable(now))
            continue;
        totalMilliCores += usableMilliCores(minion->report().capacity.milliCores);
        if (job.offer().need.milliCores > 0 && minion->allowsStart(now))
            fitting += minion->free().milliCores / job.offer().need.milliCores;
    }
    if (totalMilliCores == 0)
        return claimLimit_.endOfEarlierRuns(now) - now;
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
    // Random jitter of up to the same duration, so that callers rejected together don't retry together.
    const absl::Duration base = std::max(wait, minRetryAfter);
    return base + base * random_.unit();
}

void CellDispatcher::sweepJobs(absl::Time now)
{
    std::vector<CellJobPtr> ending;
    for (CellJob& job : jobs_) {
        const bool isPastUsefulStart = !job.hasStarted && cannotEndInTime(job, now);
        if (isPastUsefulStart || now >= job.timeoutAt())
            ending.emplace_back(&job);
    }
    for (const CellJobPtr& job : ending) {
        const JobEnd end = job->mayHaveRun() ? JobEnd::GivenUp : JobEnd::Rejected;
        totals_.rejectedJobs += end == JobEnd::Rejected ? 1 : 0;
        logEvent(end == JobEnd::GivenUp ? "job_given_up" : "job_turned_down", job->offer().job, {}, absl::StrCat("reason=out_of_time age_ms=", absl::ToInt64Milliseconds(now - job->offeredAt()), " queued_tasks=", job->queuedCount()));
        finish(*job, end, now, retryAfter(absl::ZeroDuration()), RejectionReason::OutOfTime);
    }
}

bool CellDispatcher::isClaimOver(const CellJob& job, absl::Time now) const
{
    // An entry needs a load report of a new owner before it can claim what it has offered to it.
    return !claimLimit_.allowsStart(claimLimit_.endOf(std::max(job.claimedAt, job.offeredAt())), now);
}

void CellDispatcher::stopUnclaimedJobs(absl::Time now)
{
    std::vector<CellJobPtr> orphans;
    for (CellJob& job : jobs_) {
        if (now - entryContacts_[job.entry()] > policy_.entryTimeout || isClaimOver(job, now))
            orphans.emplace_back(&job);
    }
    for (const CellJobPtr& job : orphans) {
        logEvent("job_orphaned", job->offer().job, {}, absl::StrCat("entry=", job->entry().value(), " claim_age_ms=", absl::ToInt64Milliseconds(std::min(now - job->claimedAt, maxLoggedAge))));
        finish(*job, JobEnd::GivenUp, now);
    }
}

void CellDispatcher::setEvacuated(bool isEvacuated, bool mayFinishJobs, absl::Time now)
{
    if (isEvacuated && !isEvacuated_)
        finishJobsUntil_ = mayFinishJobs ? now + policy_.evacuationGrace : absl::InfinitePast();
    isEvacuated_ = isEvacuated;
    endEvacuatedJobs(now);
    place(now);
}

bool CellDispatcher::isStartBarred(const CellJob& job, absl::Time now) const
{
    return isEvacuated_ && (!job.hasStarted || now >= finishJobsUntil_);
}

void CellDispatcher::endEvacuatedJobs(absl::Time now)
{
    if (!isEvacuated_)
        return;
    std::vector<CellJobPtr> ending;
    for (CellJob& job : jobs_) {
        // Runs under the job's id may still be found on the minions.
        const bool mayFindRuns = job.offer().isTakeover ? !areEarlierRunsKnown(job, now) : !areFirstRenewalsDone(now);
        if (job.queuedCount() > 0 && isStartBarred(job, now) && !mayFindRuns)
            ending.emplace_back(&job);
    }
    for (const CellJobPtr& job : ending) {
        job->hasRunBefore = job->hasRunBefore || hasOtherRunsOf(*job);
        const JobEnd end = job->mayHaveRun() ? JobEnd::GivenUp : JobEnd::Rejected;
        totals_.rejectedJobs += end == JobEnd::Rejected ? 1 : 0;
        logEvent(end == JobEnd::GivenUp ? "job_given_up" : "job_turned_down", job->offer().job, {}, absl::StrCat("reason=evacuated queued_tasks=", job->queuedCount()));
        finish(*job, end, now, retryAfter(absl::ZeroDuration()), RejectionReason::Evacuated);
    }
}

bool CellDispatcher::mayStart(const CellJob& job, absl::Time now) const
{
    // A minion that isn't fenced may still have runs of an earlier owner.
    return !isStartBarred(job, now) && (!job.offer().isTakeover || areEarlierRunsKnown(job, now)) && !job.hasEarlierRuns && claimLimit_.allowsStart(claimLimit_.endOf(job.claimedAt), now);
}

bool CellDispatcher::mayHaveEarlierRuns(const CellJob& job, absl::Time now) const
{
    return (!job.offer().isTakeover && !areFirstRenewalsDone(now)) || hasOtherRunsOf(job);
}

bool CellDispatcher::hasOtherRunsOf(const CellJob& job) const
{
    const JobKey& key = job.offer().job;
    return std::any_of(minions_.begin(), minions_.end(), [&](const auto& entry) {
        const auto& runs = entry.second->runs();
        return std::any_of(runs.begin(), runs.end(), [&](const auto& run) { return run.first.job == key && run.second.job != &job; });
    }) || std::any_of(unlistedStarts_.begin(), unlistedStarts_.end(), [&](const UnlistedStart& unlisted) { return unlisted.job->offer().job == key && unlisted.job != &job; });
}

void CellDispatcher::place(absl::Time now)
{
    if (isSuperseded_)
        return;
    isPlacementPaused_ = false;
    std::vector<std::pair<double, CellJob*>> queued;
    for (CellJob& job : jobs_) {
        if (job.hasEarlierRuns) {
            job.hasRunBefore = job.hasRunBefore || hasOtherRunsOf(job);
            job.hasEarlierRuns = mayHaveEarlierRuns(job, now);
        }
        if (job.queuedCount() > 0 && mayStart(job, now))
            queued.emplace_back(order_.rank(job, now), &job);
    }
    std::sort(queued.begin(), queued.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    if (queued.size() > policy_.maxJobsPerRound)
        queued.resize(policy_.maxJobsPerRound);
    // At a peak most jobs fit nowhere, and searching all minions for each job would cost minions times jobs.
    ResourceVector maxFree = queued.empty() ? ResourceVector {} : MinionChooser::maxFree(minions_, now);
    for (const auto& [rank, job] : queued) {
        // A job that can't end in time isn't started: sweepJobs() rejects it.
        if (!job->hasStarted && job->offeredAt() < now && cannotEndInTime(*job, now))
            continue;
        while (const std::optional<TaskIndex> index = maxFree.holds(job->offer().need) ? job->firstQueued() : std::nullopt) {
            if (!hasRoomForStart(*job)) {
                isPlacementPaused_ = true;
                break;
            }
            if (placeTask(*job, *index, now))
                continue;
            maxFree = MinionChooser::maxFree(minions_, now);
            break;
        }
    }
}

bool CellDispatcher::hasRoomForStart(const CellJob& job) const
{
    // Large jobs leave a part of both limits to small ones.
    const auto shareOf = [&](size_t limit) { return job.offer().taskCount > limit / 4 ? limit - limit / 4 : limit; };
    return startsInFlight_ < shareOf(maxStartsInFlight()) && runCount() < shareOf(policy_.maxRuns);
}

size_t CellDispatcher::runCount() const
{
    return std::accumulate(minions_.begin(), minions_.end(), size_t { 0 }, [](size_t sum, const auto& entry) { return sum + entry.second->runs().size(); });
}

void CellDispatcher::resumePlacement(absl::Time now)
{
    if (isPlacementPaused_ && startsInFlight_ <= maxStartsInFlight() / 2)
        place(now);
}

bool CellDispatcher::exceedsQueueLimit(const CellJob& job) const
{
    const size_t queued = std::accumulate(jobs_.begin(), jobs_.end(), size_t { 0 }, [](size_t sum, const CellJob& each) { return sum + each.queuedCount(); });
    return queued > policy_.maxQueuedTasks && queued > job.queuedCount();
}

bool CellDispatcher::placeTask(CellJob& job, TaskIndex index, absl::Time now)
{
    LeasedMinion* minion = chooser_.choose(minions_, job, job.task(index), now);
    if (!minion)
        return false;
    Run run;
    run.id = { job.offer().job, index, RunNumber(grant_.epoch.value() * maxRunsPerEpoch + ++runCounter_) };
    run.job = &job;
    run.need = job.offer().need;
    run.startedAt = run.progressAt = now;
    if (policy_.avoidsInterference)
        minion->recordCompany(now);
    Run& added = minion->addRun(std::move(run));
    // The claim of this job limits the lease too.
    added.leaseEndMs = minion->renewLease(now);
    sendStart(*minion, added);
    job.setState(index, TaskState::Active);
    job.firstStart = std::min(job.firstStart, now);
    job.hasStarted = true;
    ++totals_.starts;
    return true;
}

} // namespace trefoilwing
