#include "Dispatch/Broker/QueueingSlotBroker.h"

#include "Dispatch/Broker/RunTimeLearner.h"

#include <cmath>
#include <utility>

namespace trefoilwing {

using broker::Backer;
using broker::Job;
using broker::JobPtr;
using broker::Lane;
using broker::Minion;
using broker::QueuedDemand;
using broker::TaskKind;
using broker::WaitingTasks;

namespace {

    /// Slots of an entry that is gone are taken to be free after this time, whatever announcements say.
    constexpr absl::Duration orphanTime = absl::Seconds(10);

    /// A slot that a minion refused as busy isn't granted again before this time, unless an announcement shows it free.
    constexpr absl::Duration busyTime = absl::Milliseconds(20);

    /// A backer's use of slots is averaged over about this time.
    constexpr absl::Duration useAveragingTime = absl::Seconds(30);
    constexpr absl::Duration averagesRefreshPeriod = absl::Milliseconds(100);

    /// Kinds of tasks that run longer than this are long.
    constexpr absl::Duration longRunTime = absl::Seconds(1);
    constexpr double classifyMargin = 1.2;
    /// A kind counts as long until so many of its run times are known.
    constexpr uint64_t samplesToClassify = 10;

    constexpr double meanRunTimeRate = 0.002;

    /// So many demands may wait for a better slot than the free ones at a time.
    constexpr size_t mostPassedOver = 32;

    /// A minion keeps its place among the free ones while its slowness changes by less than this share.
    constexpr double rankTolerance = 0.02;

    /// So long a kind's needs must have been offered by no minion before its jobs are rejected as impossible.
    constexpr absl::Duration impossibleGrace = absl::Seconds(5);

    /// The run time taken for a kind that isn't declared.
    constexpr absl::Duration undeclaredRunTime = absl::Milliseconds(500);

    Error unknownStrategy(const std::string& part, const std::string& name)
    {
        return { ErrorCode::Malformed, "no " + part + " is named '" + name + "'", Verdict::NotRun };
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
        return unknownStrategy("order of backers", policy.backerOrder);
    strategies.minionChoice = broker::minionChoices().create(policy.minionChoice);
    if (!strategies.minionChoice)
        return unknownStrategy("choice of a minion", policy.minionChoice);
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
        voidDemands(entry);
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
    isDue_ = true;
}

void QueueingSlotBroker::minionAnnounced(const MinionAnnouncement& announcement, absl::Time now)
{
    now_ = now;
    slots_.announce(announcement, now);
    updateShares();
    isDue_ = true;
}

void QueueingSlotBroker::minionGone(const MinionId& id, absl::Time now)
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
        takeWholeState(*entry, update);
    entry->sequence = update.sequence;
    entry->received = update.received;
    for (const SlotReport& report : update.reports)
        takeReport(*entry, report, now);
    for (const Demand& demand : update.demands)
        takeDemand(*entry, demand);
    isDue_ = true;
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
    // Updates are missing, so nothing is granted to the entry until it has told its whole state.
    voidDemands(entry);
    entry.stream = update.stream;
    entry.sequence = 0;
    pendingOf(entry).needsFullState = true;
    isDue_ = true;
    return false;
}

void QueueingSlotBroker::entryGone(const DaemonRun& run, absl::Time now)
{
    now_ = now;
    auto found = entries_.find(run);
    if (found == entries_.end())
        return;
    Entry& entry = found->second;
    voidDemands(entry);
    // Its tasks may still run, so their slots count as in use until announcements show otherwise.
    for (const auto& [id, slots] : entry.held)
        slots_.disown(slots_.minion(id), slots, now + orphanTime);
    entries_.erase(found);
    isDue_ = true;
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
        entryGone(earlier, now);
    Entry& entry = entries_[run];
    entry.run = run;
    return &entry;
}

void QueueingSlotBroker::takeWholeState(Entry& entry, const BrokerUpdate& update)
{
    entry.stream = update.stream;
    entry.decided = 0;
    entry.pending = {};
    entry.hasPending = false;
    voidDemands(entry);
    for (const auto& [id, slots] : entry.held)
        slots_.release(slots_.minion(id), slots);
    entry.held.clear();
    for (const auto& [id, slots] : update.held) {
        slots_.account(slots_.minion(id), slots);
        entry.held[id] = slots;
    }
}

void QueueingSlotBroker::takeDemand(Entry& entry, const Demand& demand)
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
        time(*job, job->hasStarted ? strategies_.admission->urgentAt(*job, loadView()) : strategies_.admission->giveUpAt(*job, loadView()));
    dropIfIdle(entry, *job);
}

uint32_t QueueingSlotBroker::waitingTasks(const Entry& entry, const Job& job, const TaskKind& kind, uint32_t asked)
{
    // The entry counts tasks as waiting whose grants were on their way when it sent its demand.
    for (const broker::SentGrant& grant : job.sent) {
        if (grant.sequence > entry.received && grant.kind == &kind)
            asked -= std::min(asked, grant.slots);
    }
    return asked;
}

void QueueingSlotBroker::noteSent(const Entry& entry, Job& job, TaskKind& kind)
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
        Lane& lane = laneFor(*tasks.kind);
        auto queued = std::find_if(job.queued.begin(), job.queued.end(), [&](const auto& q) { return q->lane == &lane; });
        if (queued == job.queued.end()) {
            queued = job.queued.insert(queued, std::make_unique<QueuedDemand>());
            (*queued)->job = &job;
            (*queued)->lane = &lane;
            (*queued)->arrival = ++arrivals_;
        }
        (*queued)->kinds.push_back(tasks);
        job.waiting += tasks.count;
    }
    for (const auto& queued : job.queued)
        queue_.insert(*queued);
}

void QueueingSlotBroker::takeReport(Entry& entry, const SlotReport& report, absl::Time now)
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
    slots_.markBusy(minion, now_ + busyTime);
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
    broker::RunTimeLearner::learn(kind, minion, report.runTime, now_);
    const absl::Duration atAverage = report.runTime / minion.slowness;
    classify(kind);
    meanRunTime_ += (atAverage - meanRunTime_) * meanRunTimeRate;
    if (std::abs(minion.slowness - minion.rankedSlowness) > rankTolerance * minion.rankedSlowness)
        slots_.refile(minion);
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
    longInUse_ -= kind.isLong;
}

void QueueingSlotBroker::classify(TaskKind& kind)
{
    const absl::Duration bound = kind.isLong ? longRunTime / classifyMargin : longRunTime * classifyMargin;
    const bool isLong = kind.samples < samplesToClassify || kind.runTime > bound;
    if (isLong == kind.isLong)
        return;
    kind.isLong = isLong;
    longInUse_ += isLong ? kind.inUse : -kind.inUse;
    relane(kind);
}

void QueueingSlotBroker::relane(TaskKind& kind)
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

void QueueingSlotBroker::voidDemands(Entry& entry)
{
    for (const auto& [kind, slots] : entry.heldByKind) {
        kind->inUse -= slots;
        longInUse_ -= kind->isLong ? slots : 0;
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
    untime(job);
}

void QueueingSlotBroker::dropIfIdle(Entry& entry, Job& job)
{
    if (job.waiting == 0 && job.granted == 0)
        entry.jobs.erase(job.ref.job);
}

std::vector<EntryDecisions> QueueingSlotBroker::decide(absl::Time now)
{
    isDue_ = false;
    now_ = now;
    refreshAverages();
    slots_.expire(now);
    slots_.refreshSteps(now);
    actOnDueJobs(now);
    rejectImpossible(now);
    patienceEnds_ = absl::InfiniteFuture();
    while (QueuedDemand* demand = firstServable())
        grantFirst(*demand, now);
    for (QueuedDemand* demand : passedOver_)
        queue_.insert(*demand);
    passedOver_.clear();
    tasksPassedOver_ = 0;

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
    if (isDue_)
        return absl::InfinitePast();
    const absl::Time giveUp = timed_.empty() ? absl::InfiniteFuture() : timed_.begin()->dueAt;
    return std::min({ giveUp, slots_.nextExpiry(), patienceEnds_, impossibleAt_ });
}

void QueueingSlotBroker::actOnDueJobs(absl::Time now)
{
    while (!timed_.empty() && timed_.begin()->dueAt <= now)
        act(*timed_.begin(), now);
}

void QueueingSlotBroker::act(Job& job, absl::Time now)
{
    // The estimates move as run times are learned, so what is due by now may not be so any more.
    const broker::LoadView load = loadView();
    const absl::Time due = job.hasStarted ? strategies_.admission->urgentAt(job, load) : strategies_.admission->giveUpAt(job, load);
    if (due > now) {
        time(job, due);
        return;
    }
    if (!job.hasStarted) {
        reject(job, strategies_.admission->rejection(job, now));
        return;
    }
    untime(job);
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
    impossibleAt_ = absl::InfiniteFuture();
    for (auto& [key, lane] : lanes_) {
        if (!lane.pool->members.empty() || slots_.totalSlots() == 0)
            continue;
        if (lane.pool->emptySince == absl::InfinitePast())
            lane.pool->emptySince = now;
        const absl::Time due = lane.pool->emptySince + impossibleGrace;
        if (now < due) {
            impossibleAt_ = broker::DemandQueue::first(lane) ? std::min(impossibleAt_, due) : impossibleAt_;
            continue;
        }
        // Jobs that have started can't be rejected; they stay for their entry to end.
        std::vector<Job*> impossible;
        for (auto* group : { &lane.urgent, &lane.withinShare, &lane.beyondShare }) {
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

bool QueueingSlotBroker::isComplete(const Job& job)
{
    return std::none_of(job.queued.begin(), job.queued.end(), [](const auto& demand) { return demand->lane->pool->members.empty(); });
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

void QueueingSlotBroker::time(Job& job, absl::Time due)
{
    untime(job);
    job.dueAt = due;
    job.isTimed = true;
    timed_.insert(job);
}

void QueueingSlotBroker::untime(Job& job)
{
    if (std::exchange(job.isTimed, false))
        timed_.erase(timed_.iterator_to(job));
}

bool QueueingSlotBroker::mayUseSlots(const Lane& lane) const
{
    return !lane.isLong || longInUse_ < longLimit_;
}

QueuedDemand* QueueingSlotBroker::firstServable()
{
    QueuedDemand* best = nullptr;
    for (auto& [key, lane] : lanes_) {
        if (lane.pool->free.empty() || !mayUseSlots(lane))
            continue;
        QueuedDemand* first = broker::DemandQueue::first(lane);
        if (first && (!best || broker::DemandQueue::goesBefore(*first, *best)))
            best = first;
    }
    return best;
}

void QueueingSlotBroker::grantFirst(QueuedDemand& demand, absl::Time now)
{
    Job& job = *demand.job;
    if (!job.hasStarted && !isComplete(job)) {
        passOver(demand);
        return;
    }
    if (!job.hasStarted && !strategies_.admission->mayStart(job, loadView())) {
        reject(job, strategies_.admission->rejection(job, now));
        return;
    }
    const broker::Choice choice = chooseFor(demand, now);
    if (!choice.minion) {
        passOver(demand);
        return;
    }
    demand.patientUntil = absl::InfiniteFuture();
    grant(demand, demand.kinds.back(), *choice.minion);
}

broker::Choice QueueingSlotBroker::chooseFor(QueuedDemand& demand, absl::Time now)
{
    const TaskKind& kind = *demand.kinds.back().kind;
    const bool mayWait = demand.patientUntil > now && passedOver_.size() < mostPassedOver;
    const absl::Duration meanRunTime = meanRunTime_ == absl::ZeroDuration() ? kind.runTime : meanRunTime_;
    const broker::ChoiceInput input { *demand.lane->pool, *demand.job, kind, tasksPassedOver_ + demand.job->waiting, meanRunTime, mayWait };
    broker::Choice choice = strategies_.minionChoice->choose(input, random_);
    if (!choice.minion && choice.patience != absl::InfiniteDuration()) {
        demand.patientUntil = std::min(demand.patientUntil, now + choice.patience);
        patienceEnds_ = std::min(patienceEnds_, demand.patientUntil);
    }
    return choice;
}

void QueueingSlotBroker::passOver(QueuedDemand& demand)
{
    queue_.remove(demand);
    passedOver_.push_back(&demand);
    tasksPassedOver_ += demand.job->waiting;
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
        time(job, strategies_.admission->urgentAt(job, loadView()));
    }
    --tasks.kind->startedWaiting;
    --tasks.kind->waiting;
    ++tasks.kind->inUse;
    ++entry.heldByKind[tasks.kind];
    noteSent(entry, job, *tasks.kind);
    longInUse_ += tasks.kind->isLong;
    ++job.granted;
    --job.waiting;
    if (--tasks.count == 0)
        demand.kinds.pop_back();
    if (demand.kinds.empty())
        queue_.remove(demand);
    if (job.waiting == 0)
        untime(job);
    queue_.reorder(job);
}

void QueueingSlotBroker::changeUse(Backer& backer, int32_t slots)
{
    averageUse(backer);
    backer.inUse += slots;
    queue_.backerChanged(backer);
}

void QueueingSlotBroker::averageUse(Backer& backer) const
{
    if (now_ <= backer.averagedAt)
        return;
    const double kept = std::exp(-absl::FDivDuration(now_ - backer.averagedAt, useAveragingTime));
    backer.averageUse = kept * backer.averageUse + (1 - kept) * backer.inUse;
    backer.averagedAt = now_;
}

void QueueingSlotBroker::refreshAverages()
{
    longLimit_ = strategies_.reserve->longLimit(slots_.totalSlots());
    if (now_ < averagesRefreshed_ + averagesRefreshPeriod)
        return;
    averagesRefreshed_ = now_;
    uint32_t shortSlots = 0;
    for (const auto& [id, kind] : kinds_)
        shortSlots += kind->isLong ? 0 : kind->inUse + kind->waiting;
    strategies_.reserve->observe(shortSlots, now_);
    for (auto& [id, backer] : backers_) {
        averageUse(*backer);
        queue_.backerChanged(*backer);
    }
}

void QueueingSlotBroker::updateShares()
{
    uint64_t quotas = 0;
    for (const auto& [id, backer] : backers_)
        quotas += backer->quota;
    for (auto& [id, backer] : backers_) {
        backer->share = quotas == 0 ? 0 : static_cast<double>(slots_.totalSlots()) * backer->quota / static_cast<double>(quotas);
        queue_.backerChanged(*backer);
    }
}

TaskKind& QueueingSlotBroker::kindFor(const TaskKindId& id)
{
    std::unique_ptr<TaskKind>& kind = kinds_[id];
    if (!kind) {
        kind = std::make_unique<TaskKind>();
        kind->id = id;
        kind->runTime = kind->meanRunTime = undeclaredRunTime;
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

Lane& QueueingSlotBroker::laneFor(const TaskKind& kind)
{
    Lane& lane = lanes_[{ kind.pool, kind.isLong }];
    lane.pool = kind.pool;
    lane.isLong = kind.isLong;
    return lane;
}

EntryDecisions& QueueingSlotBroker::pendingOf(Entry& entry)
{
    entry.hasPending = true;
    entry.pending.entry = entry.run;
    return entry.pending;
}

} // namespace trefoilwing
