#include "Placement/CapacityAdmission.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace trefoilwing {

namespace {

    /// Minimum interval of reviews: a forecast of a full queue takes up to some tenths of a millisecond.
    constexpr absl::Duration reviewInterval = absl::Milliseconds(20);
    constexpr absl::Duration urgentReviewInterval = absl::Milliseconds(5);

    /// Share of the cell's capacity that is always taken to be left for a priority, so that Retry-After stays finite.
    constexpr double minShareLeft = 0.05;

    double coreSeconds(int64_t coreMs)
    {
        return static_cast<double>(coreMs) / 1000;
    }

} // namespace

CapacityAdmission::CapacityAdmission(const DispatchPolicy& policy, absl::Time now)
    : policy_(policy)
    , model_(policy, now)
{
}

void CapacityAdmission::jobArrived(const JobOffer& offer, absl::Time now)
{
    model_.jobArrived(offer, now);
}

AdmissionDecision CapacityAdmission::decide(const CellState& state, CellJob& job)
{
    const auto tasks = static_cast<int64_t>(job.queuedCount());
    const int64_t startable = CapacityModel::startableTasks(state, job.offer().need, tasks);
    // Free cores that the jobs ahead could use have been given to them already.
    if (startable >= tasks)
        return {};
    if (!CapacityModel::hasUsableMinion(state))
        return { !job.isTooLateToStart(state.now + policy_.takeoverTimeout, policy_.minRemainingFraction), policy_.takeoverTimeout };
    // If cores are free that would stay idle, a late answer is worth more than none.
    const absl::Time limit = startable > 0 ? job.usefulUntil() : std::min(job.lateAt(), job.usefulUntil());
    const JobForecast forecast = model_.forecast(state, job, limit);
    if (forecast.end <= limit)
        return { true, forecast.firstStart - state.now };
    return { false, backlogTime(state, job) };
}

std::vector<JobWithdrawal> CapacityAdmission::review(const CellState& state, bool isUrgent)
{
    if (state.now < reviewedAt_ + (isUrgent ? urgentReviewInterval : reviewInterval))
        return {};
    reviewedAt_ = state.now;
    std::vector<JobWithdrawal> withdrawals;
    withdrawTimedOutRuns(state, withdrawals);
    // Without minions the forecast would end all jobs, but minions may come back.
    if (!CapacityModel::hasUsableMinion(state))
        return withdrawals;
    for (const JobForecast& forecast : model_.forecastQueue(state)) {
        if (forecast.end != absl::InfiniteFuture() || forecast.job->hasEarlierRuns)
            continue;
        if (forecast.job->hasStarted)
            withdrawals.push_back({ forecast.job, "caller_timeout" });
        else if (!forecast.job->mayHaveRun())
            withdrawals.push_back({ forecast.job, "overtaken" });
    }
    return withdrawals;
}

void CapacityAdmission::withdrawTimedOutRuns(const CellState& state, std::vector<JobWithdrawal>& withdrawals)
{
    absl::flat_hash_set<const CellJob*> found;
    for (const auto& [id, minion] : state.minions) {
        for (const auto& [runId, run] : minion->runs()) {
            if (!run.job || run.job->isResultSent || run.state == RunState::Stopping || state.now >= run.job->timeoutAt())
                continue;
            if (minion->minRemainder(run, state.now) > run.job->timeoutAt() - state.now && found.insert(run.job.get()).second)
                withdrawals.push_back({ run.job, "caller_timeout" });
        }
    }
}

double CapacityAdmission::rateLeftFor(const CellState& state, uint32_t priority) const
{
    const double rate = model_.completionRate(state);
    double taken = 0;
    for (uint32_t each = 0; each < priority; ++each)
        taken += model_.arrivalRate(each, state.now);
    return std::max(rate - taken, rate * minShareLeft);
}

absl::Duration CapacityAdmission::backlogTime(const CellState& state, const CellJob& job) const
{
    const double rank = state.order.rank(job, state.now);
    int64_t coreMs = 0;
    for (const CellJob& other : state.jobs) {
        if (&other == &job || state.order.rank(other, state.now) <= rank)
            coreMs += other.queuedCoreMs();
    }
    const double rate = rateLeftFor(state, job.offer().priority);
    return rate > 0 ? absl::Seconds(coreSeconds(coreMs) / rate) : policy_.takeoverTimeout;
}

absl::Duration CapacityAdmission::retryAfter(const CellState& state, const CellJob& job, absl::Duration wait, Random& random)
{
    const double rate = rateLeftFor(state, job.offer().priority);
    const absl::Duration work = rate > 0 ? absl::Seconds(coreSeconds(job.queuedCoreMs()) / rate) : absl::ZeroDuration();
    // The jitter spreads callers of several cells that reserve the same time.
    return retries_.reserve(job.offer().priority, wait, work, state.now) + absl::Seconds(1) * random.unit();
}

} // namespace trefoilwing
