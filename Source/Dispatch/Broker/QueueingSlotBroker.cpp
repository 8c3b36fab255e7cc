#include "Dispatch/Broker/QueueingSlotBroker.h"

#include "Dispatch/Broker/RunTimeEstimator.h"

#include <cmath>
#include <utility>

namespace trefoilwing {

using broker::Backer;
using broker::Job;
using broker::JobPtr;
using broker::Minion;
using broker::PoolQueue;
using broker::QueuedDemand;
using broker::TaskKind;
using broker::WaitingTasks;

namespace {

    /// Slots of a removed entry are considered free after this time, even if announcements report them busy.
    constexpr absl::Duration removedEntrySlotTimeout = absl::Seconds(10);

    /// A slot that a minion refused as busy isn't granted again within this time, unless an announcement reports it free.
    constexpr absl::Duration busySlotTimeout = absl::Milliseconds(20);

    /// Time constant of the moving average of a backer's slot use.
    constexpr absl::Duration useAveragingTime = absl::Seconds(30);
    constexpr absl::Duration averagesRefreshPeriod = absl::Milliseconds(100);

    /// A task kind with a longer run time is classified as long.
    constexpr absl::Duration longTaskThreshold = absl::Seconds(1);
    constexpr double classifyHysteresis = 1.2;
    /// Number of learned run times below which a kind is classified as long.
    constexpr uint64_t minSamplesToClassify = 10;

    constexpr double meanRunTimeWeight = 0.002;

    /// Maximum number of demands that wait for a faster minion at the same time.
    constexpr size_t maxDeferredDemands = 32;

    /// Relative change of a minion's slowness up to which its rank isn't updated.
    constexpr double rankTolerance = 0.02;

    /// A job is rejected as impossible only after no minion has met the needs of one of its kinds for this time.
    constexpr absl::Duration impossibleTimeout = absl::Seconds(5);

    /// Initial run time of a kind that isn't declared.
    constexpr absl::Duration initialRunTime = absl::Milliseconds(500);

    Error unknownStrategy(const std::string& part, const std::string& name)
    {
        return { ErrorCode::Malformed, "unknown " + part + " '" + name + "' in the broker policy", Verdict::NotRun };
    }

} // namespace

Result<std::unique_ptr<QueueingSlotBroker>> QueueingSlotBroker::create(const BrokerPolicy& policy, Random& random)
{
    Strategies strategies;
    strategies.jobOrder = broker::jobOrders().create(policy.jobOrder);
    if (!strategies.jobOrder)
        return unknownStrategy("job order", policy.jobOrder);
    strategies.backerOrder = broker::backerOrders().create(policy.backerOrder);
    if (!strategies.backerOrder)
        return unknownStrategy("backer order", policy.backerOrder);
    strategies.minionChoice = broker::minionChoices().create(policy.minionChoice);
    if (!strategies.minionChoice)
        return unknownStrategy("minion choice", policy.minionChoice);
    strategies.admission = broker::admissions().create(policy.admission);
    if (!strategies.admission)
        return unknownStrategy("admission", policy.admission);
    strategies.ejection = broker::ejections().create(policy.ejection);
    if (!strategies.ejection)
        return unknownStrategy("ejection", policy.ejection);
    strategies.reserve = broker::slotReserves().create(policy.reserve);
    if (!strategies.reserve)
        return unknownStrategy("reserve", policy.reserve);
    return std::unique_ptr<QueueingSlotBroker>(new QueueingSlotBroker(std::move(strategies), random));
}

QueueingSlotBroker::QueueingSlotBroker(Strategies strategies, Random& random)
    : strategies_(std::move(strategies))
    , random_(random)
    , queue_(*strategies_.jobOrder, *strategies_.backerOrder)
{
}

QueueingSlotBroker::~QueueingSlotBroker()
{
    for (auto& [run, entry] : entries_)
        dropDemands(entry);
}

void QueueingSlotBroker::declare(const ServiceDeclaration& declaration)
{
    for (auto& [id, backer] : backers_)
        backer->quota = 0;
    for (const BackerDeclaration& declared : declaration.backers)
        backerFor(declared.backer).quota = declared.quota;
    for (const TaskKindDeclaration& declared : declaration.kinds) {
        TaskKind& kind = kindFor(declared.kind);
        if (kind.samples == 0)
            kind.runTime = kind.meanRunTime = declared.expectedRunTime;
        kind.pool = &slots_.poolFor(declared.needs, now_);
    }
    updateShares();
    hasNewEvents_ = true;
}

void QueueingSlotBroker::minionAnnounced(const MinionAnnouncement& announcement, absl::Time now)
{
    now_ = now;
    slots_.announce(announcement, now);
    updateShares();
    hasNewEvents_ = true;
}

void QueueingSlotBroker::minionRemoved(const MinionId& id, absl::Time now)
{
    now_ = now;
    slots_.remove(id, now);
    updateShares();
}

void QueueingSlotBroker::entryUpdated(const BrokerUpdate& update, absl::Time now)
{
    now_ = now;
    Entry* entry = entryFor(update.entry, now);
    if (!entry || !isInOrder(*entry, update))
        return;
    if (update.sequence == 1)
        applyFullState(*entry, update);
    entry->sequence = update.sequence;
    entry->received = update.received;
    for (const SlotReport& report : update.reports)
        applyReport(*entry, report, now);
    for (const Demand& demand : update.demands)
        applyDemand(*entry, demand);
    hasNewEvents_ = true;
}

bool QueueingSlotBroker::isInOrder(Entry& entry, const BrokerUpdate& update)
{
    if (update.stream < entry.stream)
        return false;
    if (update.sequence == 1)
        return update.stream > entry.stream || entry.sequence == 0;
    if (update.stream == entry.stream && entry.sequence != 0) {
        if (update.sequence <= entry.sequence)
            return false;
        if (update.sequence == entry.sequence + 1)
            return true;
    }
    // Updates were lost, so nothing is granted to the entry until it has sent its full state.
    dropDemands(entry);
    entry.stream = update.stream;
    entry.sequence = 0;
    pendingOf(entry).needsFullState = true;
    hasNewEvents_ = true;
    return false;
}

void QueueingSlotBroker::entryRemoved(const DaemonRun& run, absl::Time now)
{
    now_ = now;
    auto found = entries_.find(run);
    if (found == entries_.end())
        return;
    Entry& entry = found->second;
    dropDemands(entry);
    // Its tasks may still be running, so their slots count as in use until announcements report them free.
    for (const auto& [id, slots] : entry.held)
        slots_.markUnaccounted(slots_.minion(id), slots, now + removedEntrySlotTimeout);
    entries_.erase(found);
    hasNewEvents_ = true;
}

QueueingSlotBroker::Entry* QueueingSlotBroker::entryFor(const DaemonRun& run, absl::Time now)
{
    std::vector<DaemonRun> earlierRuns;
    for (const auto& [known, entry] : entries_) {
        if (known.daemon != run.daemon)
            continue;
        if (known.incarnation > run.incarnation)
            return nullptr;
        if (known.incarnation < run.incarnation)
            earlierRuns.push_back(known);
    }
    for (const DaemonRun& earlier : earlierRuns)
        entryRemoved(earlier, now);
    Entry& entry = entries_[run];
    entry.run = run;
    return &entry;
}

void QueueingSlotBroker::applyFullState(Entry& entry, const BrokerUpdate& update)
{
    entry.stream = update.stream;
    entry.decided = 0;
    entry.pending = {};
    entry.hasPending = false;
    dropDemands(entry);
    for (const auto& [id, slots] : entry.held)
        slots_.release(slots_.minion(id), slots);
    entry.held.clear();
    for (const auto& [id, slots] : update.held) {
        slots_.claimUnaccounted(slots_.minion(id), slots);
        entry.held[id] = slots;
    }
}

void QueueingSlotBroker::applyDemand(Entry& entry, const Demand& demand)
{
    JobPtr& held = entry.jobs[demand.job];
    if (!held)
        held = new Job;
    JobPtr job = held;
    clearDemand(*job);
    job->ref = { entry.run, demand.job };
    if (!job->backer)
        job->backer = &backerFor(demand.backer);
    job->submitted = demand.submitted;
    job->deadline = demand.deadline;
    job->excluded = demand.excluded;
    job->hasStarted = job->hasStarted || demand.hasStarted;
    std::vector<WaitingTasks> waiting;
    for (const auto& [id, count] : demand.waiting) {
        TaskKind& kind = kindFor(id);
        if (const uint32_t tasks = waitingTasks(entry, *job, kind, count))
            waiting.push_back({ &kind, tasks });
    }
    enqueue(*job, waiting);
    changeWaiting(*job, 1);
    if (job->hasStarted)
        changeStartedWaiting(*job, 1);
    if (job->waiting > 0)
        schedule(*job, job->hasStarted ? strategies_.admission->urgentAt(*job, loadView()) : strategies_.admission->rejectAt(*job, loadView()));
    dropIfIdle(entry, *job);
}

uint32_t QueueingSlotBroker::waitingTasks(const Entry& entry, const Job& job, const TaskKind& kind, uint32_t requested)
{
    // The entry still counted tasks as waiting whose grants were in flight when it sent its demand.
    for (const broker::SentGrant& grant : job.sent) {
        if (grant.sequence > entry.received && grant.kind == &kind)
            requested -= std::min(requested, grant.slots);
    }
    return requested;
}

void QueueingSlotBroker::recordSentGrant(const Entry& entry, Job& job, TaskKind& kind)
{
    const uint64_t sequence = entry.decided + 1;
    if (!job.sent.empty() && job.sent.back().sequence == sequence && job.sent.back().kind == &kind) {
        ++job.sent.back().slots;
        return;
    }
    std::erase_if(job.sent, [&](const broker::SentGrant& grant) { return grant.sequence <= entry.received; });
    job.sent.push_back({ sequence, &kind, 1 });
}

void QueueingSlotBroker::enqueue(Job& job, const std::vector<WaitingTasks>& waiting)
{
    for (const WaitingTasks& tasks : waiting) {
        PoolQueue& poolQueue = poolQueueFor(*tasks.kind);
        auto queued = std::find_if(job.queued.begin(), job.queued.end(), [&](const auto& q) { return q->poolQueue == &poolQueue; });
        if (queued == job.queued.end()) {
            queued = job.queued.insert(queued, std::make_unique<QueuedDemand>());
            (*queued)->job = &job;
            (*queued)->poolQueue = &poolQueue;
            (*queued)->arrival = ++arrivals_;
        }
        (*queued)->kinds.push_back(tasks);
        job.waiting += tasks.count;
    }
    for (const auto& queued : job.queued)
        queue_.insert(*queued);
}

void QueueingSlotBroker::applyReport(Entry& entry, const SlotReport& report, absl::Time now)
{
    auto held = entry.held.find(report.minion);
    if (held == entry.held.end())
        return;
    if (--held->second == 0)
        entry.held.erase(held);
    releaseKind(entry, report.kind);
    Minion& minion = slots_.minion(report.minion);
    (this->*endingHandlers[static_cast<size_t>(report.ending)])(minion, report);
    strategies_.ejection->record(slots_, minion, report, now);
    auto found = entry.jobs.find(report.job);
    if (found == entry.jobs.end() || found->second->granted == 0)
        return;
    JobPtr job = found->second;
    --job->granted;
    changeUse(*job->backer, -1);
    queue_.reorder(*job);
    dropIfIdle(entry, *job);
}

const QueueingSlotBroker::EndingHandler QueueingSlotBroker::endingHandlers[] = {
    &QueueingSlotBroker::onSucceeded,
    &QueueingSlotBroker::onSlotFree,
    &QueueingSlotBroker::onRefusedBusy,
    &QueueingSlotBroker::onRefusedLeaving,
    &QueueingSlotBroker::onSlotFree,
    &QueueingSlotBroker::onSlotFree,
    &QueueingSlotBroker::onSlotFree,
};

void QueueingSlotBroker::onSucceeded(Minion& minion, const SlotReport& report)
{
    slots_.release(minion, 1);
    learn(minion, report);
}

void QueueingSlotBroker::onRefusedBusy(Minion& minion, const SlotReport&)
{
    slots_.markBusy(minion, now_ + busySlotTimeout);
}

void QueueingSlotBroker::onRefusedLeaving(Minion& minion, const SlotReport&)
{
    slots_.release(minion, 1);
    slots_.markLeaving(minion);
}

void QueueingSlotBroker::onSlotFree(Minion& minion, const SlotReport&)
{
    slots_.release(minion, 1);
}

void QueueingSlotBroker::learn(Minion& minion, const SlotReport& report)
{
    TaskKind& kind = kindFor(report.kind);
    broker::RunTimeEstimator::learn(kind, minion, report.runTime, now_);
    const absl::Duration atAverage = report.runTime / minion.slowness;
    classify(kind);
    meanRunTime_ += (atAverage - meanRunTime_) * meanRunTimeWeight;
    if (std::abs(minion.slowness - minion.rankedSlowness) > rankTolerance * minion.rankedSlowness)
        slots_.reindex(minion);
}

void QueueingSlotBroker::releaseKind(Entry& entry, const TaskKindId& id)
{
    TaskKind& kind = kindFor(id);
    auto held = entry.heldByKind.find(&kind);
    if (held == entry.heldByKind.end())
        return;
    if (--held->second == 0)
        entry.heldByKind.erase(held);
    --kind.inUse;
    longSlotsInUse_ -= kind.isLong;
}

void QueueingSlotBroker::classify(TaskKind& kind)
{
    const absl::Duration bound = kind.isLong ? longTaskThreshold / classifyHysteresis : longTaskThreshold * classifyHysteresis;
    const bool isLong = kind.samples < minSamplesToClassify || kind.runTime > bound;
    if (isLong == kind.isLong)
        return;
    kind.isLong = isLong;
    longSlotsInUse_ += isLong ? kind.inUse : -kind.inUse;
    moveToPoolQueue(kind);
}

void QueueingSlotBroker::moveToPoolQueue(TaskKind& kind)
{
    for (auto& [run, entry] : entries_) {
        for (auto& [number, job] : entry.jobs) {
            std::vector<WaitingTasks> waiting;
            for (const auto& queued : job->queued)
                waiting.insert(waiting.end(), queued->kinds.begin(), queued->kinds.end());
            if (std::none_of(waiting.begin(), waiting.end(), [&](const WaitingTasks& tasks) { return tasks.kind == &kind; }))
                continue;
            for (const auto& queued : job->queued)
                queue_.remove(*queued);
            job->queued.clear();
            job->waiting = 0;
            enqueue(*job, waiting);
        }
    }
}

void QueueingSlotBroker::dropDemands(Entry& entry)
{
    for (const auto& [kind, slots] : entry.heldByKind) {
        kind->inUse -= slots;
        longSlotsInUse_ -= kind->isLong ? slots : 0;
    }
    entry.heldByKind.clear();
    for (auto& [number, job] : entry.jobs) {
        clearDemand(*job);
        changeUse(*job->backer, -static_cast<int32_t>(job->granted));
        job->granted = 0;
    }
    entry.jobs.clear();
}

void QueueingSlotBroker::clearDemand(Job& job)
{
    if (job.hasStarted)
        changeStartedWaiting(job, -1);
    changeWaiting(job, -1);
    for (const auto& queued : job.queued)
        queue_.remove(*queued);
    job.queued.clear();
    job.isUrgent = false;
    job.waiting = 0;
    unschedule(job);
}

void QueueingSlotBroker::dropIfIdle(Entry& entry, Job& job)
{
    if (job.waiting == 0 && job.granted == 0)
        entry.jobs.erase(job.ref.job);
}

std::vector<EntryDecisions> QueueingSlotBroker::decide(absl::Time now)
{
    hasNewEvents_ = false;
    now_ = now;
    refreshAverages();
    slots_.expire(now);
    slots_.refreshSteps(now);
    handleDueJobs(now);
    rejectImpossible(now);
    nextWaitEnd_ = absl::InfiniteFuture();
    while (QueuedDemand* demand = firstServable())
        grantFirst(*demand, now);
    for (QueuedDemand* demand : deferred_)
        queue_.insert(*demand);
    deferred_.clear();
    deferredTasks_ = 0;

    std::vector<EntryDecisions> decisions;
    for (auto& [run, entry] : entries_) {
        if (!std::exchange(entry.hasPending, false))
            continue;
        entry.pending.stream = entry.stream;
        entry.pending.sequence = ++entry.decided;
        decisions.push_back(std::exchange(entry.pending, {}));
    }
    return decisions;
}

absl::Time QueueingSlotBroker::nextWakeup() const
{
    if (hasNewEvents_)
        return absl::InfinitePast();
    const absl::Time firstDue = scheduled_.empty() ? absl::InfiniteFuture() : scheduled_.begin()->dueAt;
    return std::min({ firstDue, slots_.nextExpiry(), nextWaitEnd_, nextImpossibleCheck_ });
}

void QueueingSlotBroker::handleDueJobs(absl::Time now)
{
    while (!scheduled_.empty() && scheduled_.begin()->dueAt <= now)
        handleDueJob(*scheduled_.begin(), now);
}

void QueueingSlotBroker::handleDueJob(Job& job, absl::Time now)
{
    // Run time estimates change over time, so the job's due time may have moved since it was scheduled.
    const broker::LoadView load = loadView();
    const absl::Time due = job.hasStarted ? strategies_.admission->urgentAt(job, load) : strategies_.admission->rejectAt(job, load);
    if (due > now) {
        schedule(job, due);
        return;
    }
    if (!job.hasStarted) {
        reject(job, strategies_.admission->rejection(job, now));
        return;
    }
    unschedule(job);
    job.isUrgent = true;
    queue_.reorder(job);
}

void QueueingSlotBroker::reject(Job& job, Error error)
{
    Entry& entry = entries_.at(job.ref.entry);
    pendingOf(entry).rejections.push_back({ job.ref.job, std::move(error) });
    clearDemand(job);
    dropIfIdle(entry, job);
}

void QueueingSlotBroker::rejectImpossible(absl::Time now)
{
    nextImpossibleCheck_ = absl::InfiniteFuture();
    for (auto& [key, poolQueue] : poolQueues_) {
        if (!poolQueue.pool->members.empty() || slots_.totalSlots() == 0)
            continue;
        if (poolQueue.pool->emptySince == absl::InfinitePast())
            poolQueue.pool->emptySince = now;
        const absl::Time due = poolQueue.pool->emptySince + impossibleTimeout;
        if (now < due) {
            nextImpossibleCheck_ = broker::DemandQueue::first(poolQueue) ? std::min(nextImpossibleCheck_, due) : nextImpossibleCheck_;
            continue;
        }
        // Started jobs can't be rejected; they stay until their entry ends them.
        std::vector<Job*> impossible;
        for (auto* group : { &poolQueue.urgent, &poolQueue.withinShare, &poolQueue.beyondShare }) {
            for (const broker::BackerQueue& queue : *group) {
                for (const QueuedDemand& demand : queue.demands) {
                    if (!demand.job->hasStarted)
                        impossible.push_back(demand.job);
                }
            }
        }
        for (Job* job : impossible)
            reject(*job, { ErrorCode::Impossible, "no known minion offers what a task of the job needs", Verdict::NotRun });
    }
}

bool QueueingSlotBroker::isRunnable(const Job& job)
{
    return std::none_of(job.queued.begin(), job.queued.end(), [](const auto& demand) { return demand->poolQueue->pool->members.empty(); });
}

void QueueingSlotBroker::changeWaiting(const Job& job, int32_t sign)
{
    for (const auto& queued : job.queued) {
        for (const WaitingTasks& tasks : queued->kinds)
            tasks.kind->waiting += sign * static_cast<int32_t>(tasks.count);
    }
}

void QueueingSlotBroker::changeStartedWaiting(const Job& job, int32_t sign)
{
    for (const auto& queued : job.queued) {
        for (const WaitingTasks& tasks : queued->kinds)
            tasks.kind->startedWaiting += sign * static_cast<int32_t>(tasks.count);
    }
}

broker::LoadView QueueingSlotBroker::loadView() const
{
    broker::LoadView load;
    for (const auto& [id, kind] : kinds_)
        load.startedWork += kind->startedWaiting * kind->meanRunTime;
    load.now = now_;
    load.capacity = slots_.capacity();
    return load;
}

void QueueingSlotBroker::schedule(Job& job, absl::Time due)
{
    unschedule(job);
    job.dueAt = due;
    job.isScheduled = true;
    scheduled_.insert(job);
}

void QueueingSlotBroker::unschedule(Job& job)
{
    if (std::exchange(job.isScheduled, false))
        scheduled_.erase(scheduled_.iterator_to(job));
}

bool QueueingSlotBroker::mayUseSlots(const PoolQueue& poolQueue) const
{
    return !poolQueue.isLong || longSlotsInUse_ < maxLongSlots_;
}

QueuedDemand* QueueingSlotBroker::firstServable()
{
    QueuedDemand* best = nullptr;
    for (auto& [key, poolQueue] : poolQueues_) {
        if (poolQueue.pool->free.empty() || !mayUseSlots(poolQueue))
            continue;
        QueuedDemand* first = broker::DemandQueue::first(poolQueue);
        if (first && (!best || broker::DemandQueue::precedes(*first, *best)))
            best = first;
    }
    return best;
}

void QueueingSlotBroker::grantFirst(QueuedDemand& demand, absl::Time now)
{
    Job& job = *demand.job;
    if (!job.hasStarted && !isRunnable(job)) {
        defer(demand);
        return;
    }
    if (!job.hasStarted && !strategies_.admission->mayStart(job, loadView())) {
        reject(job, strategies_.admission->rejection(job, now));
        return;
    }
    const broker::Choice choice = chooseFor(demand, now);
    if (!choice.minion) {
        defer(demand);
        return;
    }
    demand.waitUntil = absl::InfiniteFuture();
    grant(demand, demand.kinds.back(), *choice.minion);
}

broker::Choice QueueingSlotBroker::chooseFor(QueuedDemand& demand, absl::Time now)
{
    const TaskKind& kind = *demand.kinds.back().kind;
    const bool mayWait = demand.waitUntil > now && deferred_.size() < maxDeferredDemands;
    const absl::Duration meanRunTime = meanRunTime_ == absl::ZeroDuration() ? kind.runTime : meanRunTime_;
    const broker::ChoiceInput input { *demand.poolQueue->pool, *demand.job, kind, deferredTasks_ + demand.job->waiting, meanRunTime, mayWait };
    broker::Choice choice = strategies_.minionChoice->choose(input, random_);
    if (!choice.minion && choice.maxWait != absl::InfiniteDuration()) {
        demand.waitUntil = std::min(demand.waitUntil, now + choice.maxWait);
        nextWaitEnd_ = std::min(nextWaitEnd_, demand.waitUntil);
    }
    return choice;
}

void QueueingSlotBroker::defer(QueuedDemand& demand)
{
    queue_.remove(demand);
    deferred_.push_back(&demand);
    deferredTasks_ += demand.job->waiting;
}

void QueueingSlotBroker::grant(QueuedDemand& demand, WaitingTasks& tasks, Minion& minion)
{
    Job& job = *demand.job;
    Entry& entry = entries_.at(job.ref.entry);
    std::vector<Grant>& grants = pendingOf(entry).grants;
    const TaskKindId& kind = tasks.kind->id;
    if (!grants.empty() && grants.back().job == job.ref.job && grants.back().kind == kind && grants.back().minion == minion.id)
        grants.back().slots = SlotCount(grants.back().slots.value() + 1);
    else
        grants.push_back({ job.ref.job, kind, minion.id, SlotCount(1) });
    ++entry.held[minion.id];
    slots_.grant(minion, 1);
    changeUse(*job.backer, 1);
    if (!job.hasStarted) {
        job.hasStarted = true;
        changeStartedWaiting(job, 1);
        schedule(job, strategies_.admission->urgentAt(job, loadView()));
    }
    --tasks.kind->startedWaiting;
    --tasks.kind->waiting;
    ++tasks.kind->inUse;
    ++entry.heldByKind[tasks.kind];
    recordSentGrant(entry, job, *tasks.kind);
    longSlotsInUse_ += tasks.kind->isLong;
    ++job.granted;
    --job.waiting;
    if (--tasks.count == 0)
        demand.kinds.pop_back();
    if (demand.kinds.empty())
        queue_.remove(demand);
    if (job.waiting == 0)
        unschedule(job);
    queue_.reorder(job);
}

void QueueingSlotBroker::changeUse(Backer& backer, int32_t slots)
{
    updateAverageUse(backer);
    backer.inUse += slots;
    queue_.updateBacker(backer);
}

void QueueingSlotBroker::updateAverageUse(Backer& backer) const
{
    if (now_ <= backer.averagedAt)
        return;
    const double kept = std::exp(-absl::FDivDuration(now_ - backer.averagedAt, useAveragingTime));
    backer.averageUse = kept * backer.averageUse + (1 - kept) * backer.inUse;
    backer.averagedAt = now_;
}

void QueueingSlotBroker::refreshAverages()
{
    maxLongSlots_ = strategies_.reserve->maxLongSlots(slots_.totalSlots());
    if (now_ < averagesRefreshed_ + averagesRefreshPeriod)
        return;
    averagesRefreshed_ = now_;
    uint32_t shortSlots = 0;
    for (const auto& [id, kind] : kinds_)
        shortSlots += kind->isLong ? 0 : kind->inUse + kind->waiting;
    strategies_.reserve->observe(shortSlots, now_);
    for (auto& [id, backer] : backers_) {
        updateAverageUse(*backer);
        queue_.updateBacker(*backer);
    }
}

void QueueingSlotBroker::updateShares()
{
    uint64_t quotas = 0;
    for (const auto& [id, backer] : backers_)
        quotas += backer->quota;
    for (auto& [id, backer] : backers_) {
        backer->share = quotas == 0 ? 0 : static_cast<double>(slots_.totalSlots()) * backer->quota / static_cast<double>(quotas);
        queue_.updateBacker(*backer);
    }
}

TaskKind& QueueingSlotBroker::kindFor(const TaskKindId& id)
{
    std::unique_ptr<TaskKind>& kind = kinds_[id];
    if (!kind) {
        kind = std::make_unique<TaskKind>();
        kind->id = id;
        kind->runTime = kind->meanRunTime = initialRunTime;
        kind->pool = &slots_.poolFor({}, now_);
    }
    return *kind;
}

Backer& QueueingSlotBroker::backerFor(const BackerId& id)
{
    std::unique_ptr<Backer>& backer = backers_[id];
    if (!backer) {
        backer = std::make_unique<Backer>();
        backer->id = id;
        backer->quota = 0;
    }
    return *backer;
}

PoolQueue& QueueingSlotBroker::poolQueueFor(const TaskKind& kind)
{
    PoolQueue& poolQueue = poolQueues_[{ kind.pool, kind.isLong }];
    poolQueue.pool = kind.pool;
    poolQueue.isLong = kind.isLong;
    return poolQueue;
}

EntryDecisions& QueueingSlotBroker::pendingOf(Entry& entry)
{
    entry.hasPending = true;
    entry.pending.entry = entry.run;
    return entry.pending;
}

} // namespace trefoilwing
