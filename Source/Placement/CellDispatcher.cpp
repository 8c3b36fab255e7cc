#include "Placement/CellDispatcher.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

namespace trefoilwing {

namespace {

    /// Maximum number of priorities reported separately in the load; routes use only a few, and higher numbers are
    /// added to the last.
    constexpr size_t maxReportedPriorities = 8;

    /// Messages that wait for a daemon are dropped after 1 s, so no offer is later than its cancel by more than this.
    constexpr absl::Duration earlyCancelRetention = absl::Seconds(2);

    std::string_view failureName(OrderFailure failure)
    {
        static constexpr std::array<std::string_view, 10> names { "none", "not_sent", "no_answer", "fenced", "old_run",
            "lease_ended", "no_room", "other_life", "unhealthy", "refused" };
        return names.at(static_cast<size_t>(failure));
    }

    bool wasAnswered(OrderFailure failure)
    {
        return failure != OrderFailure::NotSent && failure != OrderFailure::NoAnswer;
    }

} // namespace

CellDispatcher::CellDispatcher(const CellGrant& grant, const DispatchPolicy& policy, const JobOrder& order, Random& random, absl::Time now)
    : grant_(grant)
    , policy_(policy)
    , order_(order)
    , random_(random)
    , claimLimit_(policy)
    , ownedSince_(now)
    , interference_(makeInterferenceModel(policy.avoidsInterference))
    , chooser_(policy, *interference_)
{
}

CellDispatcher::~CellDispatcher()
{
    jobs_.clear_and_dispose([](CellJob* job) { intrusive_ptr_release(job); });
}

std::string CellDispatcher::describe(const RunId& run)
{
    return absl::StrCat("task=", run.task.value(), " run=", run.number.value());
}

// Minions.

void CellDispatcher::setMinionsKnown(bool areAllKnown)
{
    if (areAllKnown && !areMinionsKnown_)
        logEvent("minions_known", {}, {}, absl::StrCat("minions=", minions_.size()));
    areMinionsKnown_ = areAllKnown;
}

void CellDispatcher::minionReported(const MinionReport& report, absl::Time now)
{
    std::unique_ptr<LeasedMinion>& minion = minions_[report.instance.minion];
    if (minion && minion->instance().startTime > report.instance.startTime)
        return;
    if (minion && minion->instance() == report.instance) {
        if (report.hasLeft || report.sequence >= minion->report().sequence)
            minion->setReport(report);
    } else {
        if (minion)
            removeAllRuns(*minion, "minion_reborn");
        minion = std::make_unique<LeasedMinion>(report, policy_);
        logEvent("minion_added", {}, report.instance.minion, absl::StrCat("birth=", report.instance.startTime.value(), " cpu=", report.capacity.milliCores));
        sendRenewal(*minion, now);
    }
    if (report.hasLeft) {
        drainMinion(*minion, now);
        removeDrainedMinions(now);
    }
    place(now);
}

void CellDispatcher::minionEnded(const MinionInstance& instance, absl::Time now)
{
    LeasedMinion* minion = findMinion(instance);
    if (!minion)
        return;
    removeMinion(*minion, "minion_replaced");
    place(now);
}

void CellDispatcher::minionForgotten(const MinionInstance& instance, absl::Time now)
{
    LeasedMinion* minion = findMinion(instance);
    if (!minion)
        return;
    // The keepers have known for long enough that it has left, if they said so before.
    if (minion->drainedBy)
        minion->drainedBy = now;
    else
        drainMinion(*minion, now);
    removeDrainedMinions(now);
    place(now);
}

void CellDispatcher::drainMinion(LeasedMinion& minion, absl::Time now)
{
    if (minion.drainedBy)
        return;
    minion.drainedBy = now + departureRetention;
    for (auto& [id, run] : minion.runs()) {
        logEvent("minion_left", id.job, minion.instance().minion, describe(id));
        stopRun(minion, run, now);
    }
}

void CellDispatcher::removeDrainedMinions(absl::Time now)
{
    std::erase_if(minions_, [&](const auto& entry) {
        const LeasedMinion& minion = *entry.second;
        return minion.drainedBy && minion.runs().empty() && (minion.isFenced || now >= *minion.drainedBy);
    });
}

void CellDispatcher::removeMinion(LeasedMinion& minion, std::string_view reason)
{
    removeAllRuns(minion, reason);
    minions_.erase(MinionId(minion.instance().minion));
}

void CellDispatcher::otherInstanceAnswered(LeasedMinion& minion, MinionStartTime answeredBy, absl::Time now)
{
    MinionReport next = minion.report();
    removeMinion(minion, "other_life");
    if (answeredBy <= next.instance.startTime)
        return;
    next.instance.startTime = answeredBy;
    next.sequence = 0;
    next.state = MinionState::Leaving;
    next.hasLeft = false;
    minionReported(next, now);
}

LeasedMinion* CellDispatcher::findMinion(const MinionInstance& instance)
{
    const auto found = minions_.find(instance.minion);
    return found == minions_.end() || found->second->instance() != instance ? nullptr : found->second.get();
}

LeasedMinion* CellDispatcher::findAnswering(const MinionInstance& instance, OwnerEpoch epoch)
{
    // A process that lost its cell and got it back still receives answers to the orders of its earlier grant.
    return epoch == grant_.epoch ? findMinion(instance) : nullptr;
}

OrderHeader CellDispatcher::headerTo(const LeasedMinion& minion) const
{
    return { minion.instance(), minion.report().endpoint, grant_.epoch };
}

bool CellDispatcher::areEarlierRunsKnown(const CellJob& job, absl::Time now) const
{
    return now >= claimLimit_.endOfEarlierRuns(job.offeredAt())
        || (areMinionsKnown_ && std::all_of(minions_.begin(), minions_.end(), [](const auto& entry) { return entry.second->isFenced; }));
}

bool CellDispatcher::areFirstRenewalsDone(absl::Time now) const
{
    return now >= ownedSince_ + policy_.firstRenewalTimeout
        || std::all_of(minions_.begin(), minions_.end(), [](const auto& entry) { return entry.second->isFenced; });
}

bool CellDispatcher::isRenewalDue(const LeasedMinion& minion, absl::Time now) const
{
    if (minion.renewalSentAt || !minion.health.maySendOrder(now))
        return false;
    const bool isBusy = !minion.runs().empty() || !minion.isFenced || !minion.health.isReachable();
    const bool isUnacknowledged = minion.lastEndNumber > minion.acknowledgedEndNumber && now >= minion.lastEndAt + policy_.acknowledgeDelay;
    return isBusy || isUnacknowledged || now >= minion.lastRenewalAt + policy_.idleRenewalInterval;
}

void CellDispatcher::sendRenewal(LeasedMinion& minion, absl::Time now)
{
    const bool isBusy = !minion.runs().empty();
    RenewOrder order { headerTo(minion), 0, minion.lastEndNumber, absl::ZeroDuration() };
    // The lease of a minion that doesn't answer isn't renewed, so that its tasks can restart elsewhere after it
    // expires.
    if (minion.knowsClock() && isBusy && minion.health.isReachable() && !minion.drainedBy)
        order.leaseEndMs = minion.renewLease(now);
    if (isBusy && minion.isFenced && minion.health.isReachable())
        order.wait = order.leaseEndMs > 0 ? policy_.renewalWait : policy_.unclaimedRenewalWait;
    minion.renewalSentAt = now;
    minion.renewalEndNumber = minion.lastEndNumber;
    minion.lastRenewalAt = now;
    ++totals_.renewals;
    outbox_.orders.push_back(order);
}

void CellDispatcher::recordAnswer(LeasedMinion& minion, OrderFailure failure, int64_t clockMs, absl::Time now)
{
    if (wasAnswered(failure)) {
        if (!minion.health.isReachable())
            logEvent("minion_reachable", {}, minion.instance().minion, "");
        minion.health.orderAnswered();
        minion.recordClock(clockMs, now);
    } else {
        const bool wasReachable = minion.health.isReachable();
        minion.health.orderUnanswered(now);
        if (wasReachable && !minion.health.isReachable())
            logEvent("minion_unreachable", {}, minion.instance().minion, absl::StrCat("runs=", minion.runs().size()));
    }
    if (failure == OrderFailure::Fenced && !isSuperseded_) {
        isSuperseded_ = true;
        logEvent("superseded", {}, minion.instance().minion, absl::StrCat("epoch=", grant_.epoch.value()));
    }
}

// Answers.

void CellDispatcher::answered(const StartResult& result, absl::Time now)
{
    if (result.epoch == grant_.epoch)
        startsInFlight_ -= std::min<size_t>(startsInFlight_, 1);
    if (LeasedMinion* minion = findAnswering(result.instance, result.epoch)) {
        recordAnswer(*minion, result.failure, result.clockMs, now);
        applyStartResult(*minion, result, now);
    }
    resumePlacement(now);
}

void CellDispatcher::applyStartResult(LeasedMinion& minion, const StartResult& result, absl::Time now)
{
    Run* run = minion.findRun(result.run);
    if (!run)
        return;
    run->startsInFlight -= std::min<uint32_t>(run->startsInFlight, 1);
    if (result.failure == OrderFailure::None) {
        if (run->state == RunState::Starting)
            run->state = RunState::Running;
        run->confirmedAt = std::max(run->confirmedAt, now);
        return;
    }
    if (result.failure != OrderFailure::NoRoom)
        logEvent("start_failed", result.run.job, result.instance.minion, absl::StrCat(describe(result.run), " reason=", failureName(result.failure).data()));
    const bool concernsAllStarts = result.failure == OrderFailure::OtherInstance || result.failure == OrderFailure::Fenced;
    if (run->startOrders > 1 && !concernsAllStarts) {
        // Whatever became of this order, another start of the same run may have been carried out.
        startUnconfirmed(minion, *run, now);
        return;
    }
    switch (result.failure) {
    case OrderFailure::NoAnswer:
        startUnconfirmed(minion, *run, now);
        break;
    case OrderFailure::OtherInstance:
        otherInstanceAnswered(minion, result.answeredBy, now);
        break;
    case OrderFailure::NoRoom:
        ++totals_.startsWithoutRoom;
        minion.isFull = true;
        requeue(minion, result.run);
        break;
    case OrderFailure::Unhealthy:
    case OrderFailure::Refused:
        minion.health.runFailed(now);
        requeue(minion, result.run);
        break;
    default:
        requeue(minion, result.run);
        break;
    }
    if (result.failure != OrderFailure::NoRoom)
        place(now);
}

void CellDispatcher::startUnconfirmed(LeasedMinion& minion, Run& run, absl::Time now)
{
    if (run.startsInFlight > 0 || run.confirmedAt != absl::InfinitePast())
        return;
    if (run.state == RunState::Starting)
        run.state = RunState::Unconfirmed;
    stopRun(minion, run, now);
}

void CellDispatcher::answered(const StopResult& result, absl::Time now)
{
    LeasedMinion* minion = findAnswering(result.instance, result.epoch);
    if (!minion)
        return;
    recordAnswer(*minion, result.failure, result.clockMs, now);
    if (result.failure == OrderFailure::OtherInstance) {
        otherInstanceAnswered(*minion, result.answeredBy, now);
        place(now);
        return;
    }
    Run* run = minion->findRun(result.run);
    if (run && result.failure == OrderFailure::None)
        run->endsBy = std::min(run->endsBy, now + policy_.stopDelay);
}

void CellDispatcher::answered(const RenewResult& result, absl::Time now)
{
    LeasedMinion* minion = findAnswering(result.instance, result.epoch);
    if (!minion)
        return;
    const absl::Time sentAt = minion->renewalSentAt.value_or(now);
    minion->renewalSentAt.reset();
    recordAnswer(*minion, result.failure, result.clockMs, now);
    if (result.failure == OrderFailure::OtherInstance) {
        otherInstanceAnswered(*minion, result.answeredBy, now);
    } else if (result.failure == OrderFailure::None) {
        minion->isFenced = true;
        minion->isFull = false;
        minion->acknowledgedEndNumber = std::max(minion->acknowledgedEndNumber, minion->renewalEndNumber);
        applyEndedRuns(*minion, result, now);
        applyRunningRuns(*minion, result, sentAt, now);
        sweepRuns(*minion, now);
    }
    place(now);
    if (minion = findMinion(result.instance); minion && isRenewalDue(*minion, now))
        sendRenewal(*minion, now);
}

void CellDispatcher::tick(absl::Time now)
{
    if (now - lastTickAt_ > policy_.maxTickInterval)
        resumedAt_ = now;
    lastTickAt_ = now;
    sweepUnlistedStarts(now);
    absl::erase_if(earlyCancels_, [&](const auto& cancel) { return now > cancel.second + earlyCancelRetention; });
    for (const auto& [id, minion] : minions_)
        sweepRuns(*minion, now);
    removeDrainedMinions(now);
    stopUnclaimedJobs(now);
    endEvacuatedJobs(now);
    sweepJobs(now);
    place(now);
    if (isSuperseded_)
        return;
    for (const auto& [id, minion] : minions_) {
        if (isRenewalDue(*minion, now))
            sendRenewal(*minion, now);
    }
    if (now > ownedSince_ + 2 * policy_.adoptionPeriod)
        unclaimedEnds_.clear();
}

bool CellDispatcher::isIdle() const
{
    return jobs_.empty() && std::all_of(minions_.begin(), minions_.end(), [](const auto& entry) {
        const LeasedMinion& minion = *entry.second;
        return minion.isFenced && minion.runs().empty() && minion.health.isReachable() && minion.lastEndNumber == minion.acknowledgedEndNumber;
    });
}

CellLoad CellDispatcher::load(absl::Time now) const
{
    CellLoad load { grant_, 0, 0, {}, 0, {} };
    for (const auto& [id, minion] : minions_) {
        if (!minion->isUsable(now))
            continue;
        load.totalMilliCores += usableMilliCores(minion->report().capacity.milliCores);
        if (minion->allowsStart(now))
            load.freeMilliCores += usableMilliCores(std::max<int64_t>(0, minion->free().milliCores));
        load.completionsPerSecond += minion->completionsPerSecond();
    }
    for (const CellJob& job : jobs_) {
        const auto queued = static_cast<uint32_t>(job.queuedCount());
        if (queued == 0)
            continue;
        const size_t priority = std::min<size_t>(job.offer().priority, maxReportedPriorities - 1);
        load.queuedTasks.resize(std::max(load.queuedTasks.size(), priority + 1));
        load.queuedTasks[priority] += queued;
    }
    return load;
}

void CellDispatcher::logEvent(std::string name, const JobKey& job, const MinionId& minion, std::string detail)
{
    const CellJob* known = findJob(job);
    outbox_.events.push_back({ std::move(name), job, known ? known->offer().requestId : std::string(), known ? known->offer().offerNumber : 0, minion, std::move(detail) });
}

} // namespace trefoilwing
