#include "Dispatch/ServiceDispatcher.h"

#include "Ports/MetricNames.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace trefoilwing {

namespace {

    /// How long an attempt is kept after its job's deadline, so that its slot still counts as in use.
    constexpr absl::Duration attemptRetention = absl::Seconds(10);
    constexpr absl::Duration initialCancelBackoff = absl::Milliseconds(250);
    constexpr absl::Duration maxCancelBackoff = absl::Seconds(8);
    constexpr uint32_t maxRetriesPerRequest = 2;

    absl::Duration cancelBackoff(uint32_t cancelsSent)
    {
        const uint32_t doublings = std::min<uint32_t>(cancelsSent, 5);
        return std::min(initialCancelBackoff * (1 << doublings), maxCancelBackoff);
    }

} // namespace

// Each table is indexed by the enumeration in the minion's message: StartReply, CancelReply and the result's status.
const std::array<ServiceDispatcher::AttemptHandler, 7> ServiceDispatcher::startHandlers {
    &ServiceDispatcher::onStarted,
    &ServiceDispatcher::onRefusedBusy,
    &ServiceDispatcher::onRefusedLeaving,
    &ServiceDispatcher::onRefusedSeen,
    &ServiceDispatcher::onRefusedUnable,
    &ServiceDispatcher::onNotSent,
    &ServiceDispatcher::onAnswerLost,
};

const std::array<ServiceDispatcher::AttemptHandler, 4> ServiceDispatcher::cancelHandlers {
    &ServiceDispatcher::onFenced,
    &ServiceDispatcher::onStillRunning,
    &ServiceDispatcher::onAlreadyEnded,
    &ServiceDispatcher::onCancelLost,
};

const std::array<ServiceDispatcher::ResultHandler, 3> ServiceDispatcher::resultHandlers {
    &ServiceDispatcher::onSucceeded,
    &ServiceDispatcher::onFailed,
    &ServiceDispatcher::onNotBegun,
};

ServiceDispatcher::ServiceDispatcher(ServiceId service)
    : service_(std::move(service))
{
}

JobNumber ServiceDispatcher::accept(Submission submission, absl::Time now)
{
    const JobNumber number { ++lastJob_ };
    const JobPtr job(new Job(number, std::move(submission), now));
    jobs_.emplace(number, job);
    deadlines_.emplace(job->submission().deadline, number);
    changedDemands_.insert(number);
    retryBudget_.deposit();
    return number;
}

void ServiceDispatcher::cancel(JobNumber number, absl::Time now)
{
    const auto found = jobs_.find(number);
    if (found == jobs_.end())
        return;
    // Keeps a reference, since deciding the job erases it from the map.
    const JobPtr job = found->second;
    fail(job, ErrorCode::Cancelled, "The caller cancelled the job.", now);
}

void ServiceDispatcher::applyGrant(const Grant& grant, absl::Time now)
{
    uint32_t unused = grant.slots.value();
    const auto found = jobs_.find(grant.job);
    if (found != jobs_.end() && !found->second->isExcluded(grant.minion)) {
        const JobPtr job = found->second;
        TaskIndex index;
        while (unused > 0 && now < job->submission().deadline && job->takeWaiting(grant.kind, index)) {
            sendStart(job, index, grant.minion, now);
            --unused;
        }
    }
    if (unused == 0)
        return;
    // The job has ended or excludes the minion, or the broker assumed more waiting tasks than there are.
    for (uint32_t slot = 0; slot < unused; ++slot)
        effects_.reports.push_back({ grant.job, grant.minion, grant.kind, SlotEnding::Returned, absl::ZeroDuration() });
    changedDemands_.insert(grant.job);
    count(metric::wastedMessages, { service_, {}, grant.kind }, unused);
}

void ServiceDispatcher::applyRejection(const Rejection& rejection, absl::Time now)
{
    const auto found = jobs_.find(rejection.job);
    if (found == jobs_.end())
        return;
    const JobPtr job = found->second;
    // The rejection is outdated if a task of the job was started while it was in flight.
    if (openAttempts(*job) > 0)
        return;
    fail(job, rejection.error.code, rejection.error.message, now);
}

void ServiceDispatcher::startsAnswered(const MinionId& minion, const std::vector<StartAnswer>& answers, absl::Time now)
{
    for (const StartAnswer& answer : answers) {
        if (Attempt* attempt = findAttempt(answer.attempt, minion))
            (this->*startHandlers.at(static_cast<size_t>(answer.reply)))(*attempt, now);
    }
}

void ServiceDispatcher::cancelsAnswered(const MinionId& minion, const std::vector<CancelAnswer>& answers, absl::Time now)
{
    for (const CancelAnswer& answer : answers) {
        if (Attempt* attempt = findAttempt(answer.attempt, minion))
            (this->*cancelHandlers.at(static_cast<size_t>(answer.reply)))(*attempt, now);
    }
}

void ServiceDispatcher::resultsPosted(const MinionId& minion, std::vector<TaskResult>&& results, absl::Time now)
{
    for (TaskResult& result : results) {
        Attempt* attempt = findAttempt(result.attempt, minion);
        const bool isOwn = attempt && attempt->index == result.task.index
            && attempt->job->submission().id == result.task.submission;
        if (!isOwn) {
            // A late, duplicate or mismatched result belongs to no open attempt.
            count(metric::wastedMessages, { service_, {}, {} });
            continue;
        }
        (this->*resultHandlers.at(static_cast<size_t>(result.status)))(*attempt, result, now);
    }
}

void ServiceDispatcher::minionRemoved(const MinionId& minion, absl::Time now)
{
    const auto found = attemptsByMinion_.find(minion);
    if (found == attemptsByMinion_.end())
        return;
    const std::vector<AttemptId> lost(found->second.begin(), found->second.end());
    for (const AttemptId id : lost) {
        if (Attempt* attempt = findAttempt(id, minion))
            loseAttempt(*attempt, SlotEnding::Unreachable, now);
    }
}

void ServiceDispatcher::tick(absl::Time now)
{
    expireJobs(now);
    expireAttempts(now);
    retryCancels(now);
}

absl::Time ServiceDispatcher::nextWakeup() const
{
    absl::Time next = absl::InfiniteFuture();
    if (!deadlines_.empty())
        next = std::min(next, deadlines_.begin()->first);
    if (!expiries_.empty())
        next = std::min(next, expiries_.begin()->first);
    if (!cancelRetries_.empty())
        next = std::min(next, cancelRetries_.begin()->first);
    return next;
}

DispatchEffects ServiceDispatcher::takeEffects()
{
    for (const JobNumber number : changedDemands_) {
        const auto found = jobs_.find(number);
        if (found != jobs_.end())
            effects_.demands.push_back(demandOf(*found->second));
        else
            effects_.demands.push_back(Demand { number, {}, {}, {}, {}, {} });
    }
    changedDemands_.clear();
    return std::exchange(effects_, {});
}

std::vector<Demand> ServiceDispatcher::allDemands() const
{
    std::vector<Demand> demands;
    demands.reserve(jobs_.size());
    for (const auto& [number, job] : jobs_)
        demands.push_back(demandOf(*job));
    std::sort(demands.begin(), demands.end(), [](const Demand& a, const Demand& b) { return a.job < b.job; });
    return demands;
}

std::map<MinionId, uint32_t> ServiceDispatcher::heldSlots() const
{
    std::map<MinionId, uint32_t> held;
    for (const auto& [minion, attempts] : attemptsByMinion_)
        held[minion] = static_cast<uint32_t>(attempts.size());
    return held;
}

std::vector<QueueStatus> ServiceDispatcher::queues() const
{
    std::map<BackerId, QueueStatus> byBacker;
    for (const auto& [number, job] : jobs_) {
        const BackerId& backer = job->submission().id.backer;
        QueueStatus& status = byBacker[backer];
        status.service = service_;
        status.backer = backer;
        ++status.jobs;
        status.waitingTasks += job->waitingCount();
        status.runningTasks += openAttempts(*job);
    }
    std::vector<QueueStatus> list;
    list.reserve(byBacker.size());
    for (auto& [backer, status] : byBacker)
        list.push_back(std::move(status));
    return list;
}

void ServiceDispatcher::onStarted(Attempt& attempt, absl::Time)
{
    attempt.state = AttemptState::Started;
}

void ServiceDispatcher::onRefusedBusy(Attempt& attempt, absl::Time now)
{
    count(metric::wastedMessages, labelsOf(*attempt.job));
    requeue(attempt, SlotEnding::RefusedBusy, now);
}

void ServiceDispatcher::onRefusedLeaving(Attempt& attempt, absl::Time now)
{
    count(metric::wastedMessages, labelsOf(*attempt.job));
    requeue(attempt, SlotEnding::RefusedLeaving, now);
}

void ServiceDispatcher::onRefusedSeen(Attempt& attempt, absl::Time now)
{
    count(metric::wastedMessages, labelsOf(*attempt.job));
    // A minion that fenced a task of this job is excluded at once and gets no start from this entry again.
    // So this task's earlier start at the minion came from somebody else.
    loseAttempt(attempt, SlotEnding::Unable, now);
}

void ServiceDispatcher::onRefusedUnable(Attempt& attempt, absl::Time now)
{
    count(metric::wastedMessages, labelsOf(*attempt.job));
    attempt.job->exclude(attempt.minion);
    requeue(attempt, SlotEnding::Unable, now);
}

void ServiceDispatcher::onNotSent(Attempt& attempt, absl::Time now)
{
    requeue(attempt, SlotEnding::Unreachable, now);
}

void ServiceDispatcher::onAnswerLost(Attempt& attempt, absl::Time now)
{
    if (attempt.state == AttemptState::Started)
        return;
    attempt.state = AttemptState::Unknown;
    sendCancel(attempt, now);
}

void ServiceDispatcher::onFenced(Attempt& attempt, absl::Time now)
{
    // From now on, the minion refuses this task's id.
    attempt.job->exclude(attempt.minion);
    requeue(attempt, SlotEnding::Unreachable, now);
}

void ServiceDispatcher::onStillRunning(Attempt& attempt, absl::Time)
{
    attempt.state = AttemptState::Started;
}

void ServiceDispatcher::onAlreadyEnded(Attempt& attempt, absl::Time)
{
    // The minion has posted the result or will post it.
    attempt.state = AttemptState::Started;
}

void ServiceDispatcher::onCancelLost(Attempt& attempt, absl::Time now)
{
    if (attempt.state != AttemptState::Started)
        cancelRetries_.emplace(now + cancelBackoff(attempt.cancelsSent), attempt.id);
}

void ServiceDispatcher::onSucceeded(Attempt& attempt, TaskResult& result, absl::Time now)
{
    const JobPtr job = attempt.job;
    const TaskIndex index = attempt.index;
    job->recordRunTime(result.runTime);
    endAttempt(attempt, SlotEnding::Succeeded, result.runTime);
    if (job->isDecided() || !job->complete(index, std::move(result.output)))
        return;
    decide(job, job->takeAnswer(), now);
}

void ServiceDispatcher::onFailed(Attempt& attempt, TaskResult& result, absl::Time now)
{
    const JobPtr job = attempt.job;
    const TaskIndex index = attempt.index;
    const MinionId minion = attempt.minion;
    endAttempt(attempt, SlotEnding::TaskFailed, result.runTime);
    if (job->isDecided())
        return;
    if (job->mayRetry()) {
        job->exclude(minion);
        job->markMayHaveStarted();
        if (retryIfAllowed(job, index, now))
            return;
    }
    job->recordEnded();
    fail(job, ErrorCode::TaskFailed, absl::StrCat("Task ", index.value(), " failed at minion ", minion.value(), ": ", result.output.substr(0, 200)), now);
}

void ServiceDispatcher::onNotBegun(Attempt& attempt, TaskResult&, absl::Time now)
{
    attempt.job->exclude(attempt.minion);
    requeue(attempt, SlotEnding::Unable, now);
}

ServiceDispatcher::Attempt* ServiceDispatcher::findAttempt(AttemptId id, const MinionId& minion)
{
    const auto found = attempts_.find(id);
    return found != attempts_.end() && found->second.minion == minion ? &found->second : nullptr;
}

void ServiceDispatcher::sendStart(const JobPtr& job, TaskIndex index, const MinionId& minion, absl::Time now)
{
    job->markStarted();
    const AttemptId id { ++lastAttempt_ };
    const Submission& submission = job->submission();
    const TaskSpec& task = job->task(index);
    const absl::Time expiry = submission.deadline + attemptRetention;
    attempts_.emplace(id, Attempt { id, job, index, minion, AttemptState::Sent, 0, expiry });
    attemptsByMinion_[minion].insert(id);
    attemptsByJob_[job->number()].insert(id);
    expiries_.emplace(expiry, id);
    effects_.starts[minion].push_back(TaskStart { id, { submission.id, index }, task.kind, task.payload, submission.deadline, submission.isIdempotent });
    const MetricLabels labels { service_, submission.id.backer, task.kind };
    count(metric::taskStarts, labels);
    effects_.samples.push_back({ MetricSample::Form::Latency, metric::queueWait, labels, 0, now - job->accepted() });
}

void ServiceDispatcher::sendCancel(Attempt& attempt, absl::Time)
{
    ++attempt.cancelsSent;
    effects_.cancels[attempt.minion].push_back({ attempt.id, { attempt.job->submission().id, attempt.index } });
    count(metric::wastedMessages, labelsOf(*attempt.job));
}

void ServiceDispatcher::requeue(Attempt& attempt, SlotEnding ending, absl::Time)
{
    const JobPtr job = attempt.job;
    const TaskIndex index = attempt.index;
    endAttempt(attempt, ending, absl::ZeroDuration());
    if (job->isDecided())
        return;
    job->returnToWaiting(index);
    changedDemands_.insert(job->number());
}

void ServiceDispatcher::loseAttempt(Attempt& attempt, SlotEnding ending, absl::Time now)
{
    const JobPtr job = attempt.job;
    const TaskIndex index = attempt.index;
    const MinionId minion = attempt.minion;
    endAttempt(attempt, ending, absl::ZeroDuration());
    if (job->isDecided())
        return;
    job->markMayHaveStarted();
    job->exclude(minion);
    if (retryIfAllowed(job, index, now))
        return;
    fail(job, ErrorCode::Lost, absl::StrCat("Minion ", minion.value(), " was lost with task ", index.value(), ", which may have run there."), now);
}

void ServiceDispatcher::endAttempt(Attempt& attempt, SlotEnding ending, absl::Duration runTime)
{
    const JobNumber job = attempt.job->number();
    const TaskKindId& kind = attempt.job->task(attempt.index).kind;
    effects_.reports.push_back({ job, attempt.minion, kind, ending, runTime });
    const auto byMinion = attemptsByMinion_.find(attempt.minion);
    byMinion->second.erase(attempt.id);
    if (byMinion->second.empty())
        attemptsByMinion_.erase(byMinion);
    const auto byJob = attemptsByJob_.find(job);
    byJob->second.erase(attempt.id);
    if (byJob->second.empty())
        attemptsByJob_.erase(byJob);
    expiries_.erase({ attempt.expiry, attempt.id });
    attempts_.erase(attempt.id);
}

void ServiceDispatcher::decide(const JobPtr& job, JobOutcome outcome, absl::Time now)
{
    const JobNumber number = job->number();
    const absl::Duration response = now - job->accepted();
    effects_.samples.push_back({ MetricSample::Form::Latency, metric::requestLatency, labelsOf(*job), 0, response });
    // Counted together with requestsGood, so that both counts fall into the same metrics interval.
    count(metric::requestsTotal, labelsOf(*job));
    if (valueOf(outcome)) {
        if (response <= objective_.within)
            count(metric::requestsGood, labelsOf(*job));
        if (job->longestRunTime() > absl::ZeroDuration())
            effects_.samples.push_back({ MetricSample::Form::Latency, metric::responseOverIdeal, labelsOf(*job), 0, absl::Seconds(response / job->longestRunTime()) });
    }
    effects_.decided.push_back({ job->submission().id, std::move(outcome), response });
    if (job->waitingCount() > 0)
        changedDemands_.insert(number);
    deadlines_.erase({ job->submission().deadline, number });
    jobs_.erase(number);
    job->markDecided();
    const auto open = attemptsByJob_.find(number);
    if (open == attemptsByJob_.end())
        return;
    for (const AttemptId id : open->second) {
        Attempt& attempt = attempts_.at(id);
        if (attempt.state == AttemptState::Sent)
            sendCancel(attempt, now);
    }
}

void ServiceDispatcher::fail(const JobPtr& job, ErrorCode code, std::string message, absl::Time now)
{
    decide(job, Error { code, std::move(message), job->verdict(openAttempts(*job)) }, now);
}

bool ServiceDispatcher::retryIfAllowed(const JobPtr& job, TaskIndex index, absl::Time now)
{
    const bool isAllowed = job->mayRetry() && job->retries() < maxRetriesPerRequest
        && now < job->submission().deadline && retryBudget_.tryWithdraw();
    if (!isAllowed)
        return false;
    job->recordRetry();
    job->returnToWaiting(index);
    changedDemands_.insert(job->number());
    return true;
}

void ServiceDispatcher::expireJobs(absl::Time now)
{
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const JobPtr job = jobs_.at(deadlines_.begin()->second);
        fail(job, ErrorCode::PastDeadline, "The deadline passed before all tasks had ended.", now);
    }
}

void ServiceDispatcher::expireAttempts(absl::Time now)
{
    while (!expiries_.empty() && expiries_.begin()->first <= now)
        loseAttempt(attempts_.at(expiries_.begin()->second), SlotEnding::Unreachable, now);
}

void ServiceDispatcher::retryCancels(absl::Time now)
{
    while (!cancelRetries_.empty() && cancelRetries_.begin()->first <= now) {
        const AttemptId id = cancelRetries_.begin()->second;
        cancelRetries_.erase(cancelRetries_.begin());
        const auto found = attempts_.find(id);
        if (found != attempts_.end() && found->second.state != AttemptState::Started)
            sendCancel(found->second, now);
    }
}

Demand ServiceDispatcher::demandOf(const Job& job) const
{
    Demand demand { job.number(), job.submission().id.backer, job.accepted(), job.submission().deadline, {}, {} };
    for (const auto& [kind, tasks] : job.waiting())
        demand.waiting.emplace(kind, static_cast<uint32_t>(tasks.size()));
    demand.excluded.assign(job.excluded().begin(), job.excluded().end());
    std::sort(demand.excluded.begin(), demand.excluded.end());
    demand.hasStarted = job.hasStarted();
    return demand;
}

MetricLabels ServiceDispatcher::labelsOf(const Job& job) const
{
    return { service_, job.submission().id.backer, {} };
}

void ServiceDispatcher::count(std::string_view name, const MetricLabels& labels, uint64_t amount)
{
    effects_.samples.push_back({ MetricSample::Form::Count, name, labels, amount, {} });
}

uint32_t ServiceDispatcher::openAttempts(const Job& job) const
{
    const auto found = attemptsByJob_.find(job.number());
    return found == attemptsByJob_.end() ? 0 : static_cast<uint32_t>(found->second.size());
}

} // namespace trefoilwing
