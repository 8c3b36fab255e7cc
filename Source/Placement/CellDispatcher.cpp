#include "Placement/CellDispatcher.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

namespace trefoilwing {

namespace {

    /// Routes have a few priorities; those beyond this are told as one.
    constexpr size_t maxPrioritiesTold = 8;

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

std::string CellDispatcher::describe(const RunId& run)
{
    return absl::StrCat("task=", run.task.value(), " run=", run.number.value());
}

// Minions.

void CellDispatcher::minionReported(const MinionReport& report, absl::Time now)
{
    std::unique_ptr<LeasedMinion>& minion = minions_[report.instance.minion];
    if (minion && minion->instance().startTime > report.instance.startTime)
        return;
    if (minion && minion->instance() == report.instance) {
        if (report.sequence >= minion->report().sequence)
            minion->setReport(report);
    } else {
        if (minion)
            dropAllRuns(*minion, "minion_reborn");
        minion = std::make_unique<LeasedMinion>(report, policy_);
        note("minion_added", {}, report.instance.minion, absl::StrCat("birth=", report.instance.startTime.value(), " cpu=", report.capacity.milliCores));
        hold(*minion, now);
    }
    place(now);
}

void CellDispatcher::minionLeft(const MinionInstance& instance, absl::Time now)
{
    const auto found = minions_.find(instance.minion);
    if (found == minions_.end() || found->second->instance() != instance)
        return;
    forgetMinion(*found->second, "minion_left");
    place(now);
}

void CellDispatcher::forgetMinion(LeasedMinion& minion, std::string_view reason)
{
    dropAllRuns(minion, reason);
    minions_.erase(MinionId(minion.instance().minion));
}

LeasedMinion* CellDispatcher::findMinion(const MinionInstance& instance)
{
    const auto found = minions_.find(instance.minion);
    return found == minions_.end() || found->second->instance() != instance ? nullptr : found->second.get();
}

OrderHeader CellDispatcher::headerTo(const LeasedMinion& minion) const
{
    return { minion.instance(), minion.report().endpoint, grant_.epoch };
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
    const bool isUnacknowledged = minion.lastEndNumber > minion.acknowledgedEnd && now >= minion.endSeenAt + policy_.acknowledgeDelay;
    return isBusy || isUnacknowledged || now >= minion.lastHoldAt + policy_.idleHold;
}

void CellDispatcher::hold(LeasedMinion& minion, absl::Time now)
{
    const bool isBusy = !minion.runs().empty();
    RenewOrder order { headerTo(minion), 0, minion.lastEndNumber, absl::ZeroDuration() };
    // The runs of a minion that doesn't answer are left to their leases, so that they can start elsewhere.
    if (minion.knowsClock() && isBusy && minion.health.isReachable())
        order.leaseEndMs = minion.extendLease(now);
    if (isBusy && minion.isFenced && minion.health.isReachable())
        order.wait = policy_.holdWait;
    minion.holdSentAt = now;
    minion.holdSentEnd = minion.lastEndNumber;
    minion.lastHoldAt = now;
    ++totals_.holds;
    outbox_.orders.push_back(order);
}

void CellDispatcher::answeredBy(LeasedMinion& minion, OrderFailure failure, int64_t clockMs, absl::Time now)
{
    if (gotAnswer(failure)) {
        if (!minion.health.isReachable())
            note("minion_reachable", {}, minion.instance().minion, "");
        minion.health.reached();
        minion.noteClock(clockMs, now);
    } else {
        const bool wasReachable = minion.health.isReachable();
        minion.health.missed(now);
        if (wasReachable && !minion.health.isReachable())
            note("minion_unreachable", {}, minion.instance().minion, absl::StrCat("runs=", minion.runs().size()));
    }
    if (failure == OrderFailure::Fenced && !isSuperseded_) {
        isSuperseded_ = true;
        note("superseded", {}, minion.instance().minion, absl::StrCat("epoch=", grant_.epoch.value()));
    }
}

// Answers.

void CellDispatcher::answered(const StartResult& result, absl::Time now)
{
    LeasedMinion* minion = findMinion(result.instance);
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
        note("start_failed", result.run.job, result.instance.minion, absl::StrCat(describe(result.run), " reason=", failureName(result.failure).data()));
    switch (result.failure) {
    case OrderFailure::NoAnswer:
        if (run->state == RunState::Starting)
            run->state = RunState::Doubtful;
        if (run->confirmedAt == absl::InfinitePast())
            stopRun(*minion, *run, now);
        break;
    case OrderFailure::OtherInstance:
        forgetMinion(*minion, "other_life");
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
    LeasedMinion* minion = findMinion(result.instance);
    if (!minion)
        return;
    answeredBy(*minion, result.failure, result.clockMs, now);
    if (result.failure == OrderFailure::OtherInstance) {
        forgetMinion(*minion, "other_life");
        place(now);
        return;
    }
    Run* run = minion->findRun(result.run);
    if (run && result.failure == OrderFailure::None)
        run->goneAt = std::min(run->goneAt, now + policy_.stopTime);
}

void CellDispatcher::answered(const RenewResult& result, absl::Time now)
{
    LeasedMinion* minion = findMinion(result.instance);
    if (!minion)
        return;
    const absl::Time sentAt = minion->holdSentAt.value_or(now);
    minion->holdSentAt.reset();
    answeredBy(*minion, result.failure, result.clockMs, now);
    if (result.failure == OrderFailure::OtherInstance) {
        forgetMinion(*minion, "other_life");
    } else if (result.failure == OrderFailure::None) {
        minion->isFenced = true;
        minion->isFull = false;
        minion->acknowledgedEnd = std::max(minion->acknowledgedEnd, minion->holdSentEnd);
        takeEnded(*minion, result, now);
        takeRunning(*minion, result, sentAt, now);
        sweepRuns(*minion, now);
    }
    place(now);
    if (minion = findMinion(result.instance); minion && isHoldDue(*minion, now))
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
        return minion.isFenced && minion.runs().empty() && minion.health.isReachable() && minion.lastEndNumber == minion.acknowledgedEnd;
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
        load.completionsPerSecond += minion->completionsPerSecond();
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
