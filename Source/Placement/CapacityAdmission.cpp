#include "Placement/CapacityAdmission.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace trefoilwing {

namespace {

    /// Minimum interval of reviews: a forecast of a full queue takes some tenths of a millisecond.
    constexpr absl::Duration reviewInterval = absl::Milliseconds(20);
    constexpr absl::Duration urgentReviewInterval = absl::Milliseconds(5);

    /// Margin on expected waits, as a fraction, at which jobs are accepted under overload. Waits differ from their forecasts
    /// by about half; a larger margin rejects jobs that would end in time.
    constexpr double waitMargin = 0.25;

    /// Ratio of the work that arrives to the work that the cell completes from which jobs are accepted only if they are
    /// expected to end by their objective. At a ratio of 1 the rates of one second, which vary, reject jobs that a cell at
    /// 0.95 of its capacity serves in time.
    constexpr double overloadRatio = 1.2;

    /// Time after which a route of which no job could start gets one job placed first. Bursts last for some seconds; a
    /// shorter time would spend cores on routes that are served again when the burst ends.
    constexpr absl::Duration starvationLimit = absl::Seconds(5);

    /// Share of the cell's capacity that is always taken to be left for a priority, so that Retry-After stays finite.
    constexpr double minShareLeft = 0.05;

    constexpr double retryJitter = 0.25;

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
    if (startable >= tasks) {
        servedAt_[job.offer().route] = state.now;
        return {};
    }
    if (!CapacityModel::hasUsableMinion(state))
        return { !job.isTooLateToStart(state.now + policy_.takeoverTimeout, policy_.minRemainingFraction), policy_.takeoverTimeout };
    // A late answer is worth more than none if it takes no cores from jobs that could end in time: if cores are free, or
    // if the cell completes the work that competes for them.
    const bool isSelective = startable == 0 && model_.competingRate(job.offer(), state.now) > model_.completionRate(state) * overloadRatio;
    const absl::Time limit = isSelective ? std::min(job.lateAt(), job.usefulUntil()) : job.usefulUntil();
    const JobForecast forecast = model_.forecast(state, job, limit);
    const absl::Duration wait = forecast.end - state.now - job.offer().estimate;
    const absl::Duration margin = isSelective ? std::max(wait, absl::ZeroDuration()) * waitMargin : absl::ZeroDuration();
    if (forecast.end + margin <= limit)
        return { true, forecast.firstStart - state.now };
    if (endsStarvation(state, job))
        return {};
    return { false, backlogTime(state, job) };
}

bool CapacityAdmission::endsStarvation(const CellState& state, CellJob& job)
{
    const auto served = servedAt_.try_emplace(job.offer().route, state.now).first;
    if (state.now - served->second < starvationLimit)
        return false;
    job.isPlacedFirst = true;
    if (model_.forecast(state, job, job.usefulUntil()).end == absl::InfiniteFuture()) {
        job.isPlacedFirst = false;
        return false;
    }
    served->second = state.now;
    return true;
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
    const double rank = state.rank(job);
    int64_t coreMs = 0;
    for (const CellJob& other : state.jobs) {
        if (&other == &job || state.rank(other) <= rank)
            coreMs += other.queuedCoreMs();
    }
    const double rate = rateLeftFor(state, job.offer().priority);
    return rate > 0 ? absl::Seconds(coreSeconds(coreMs) / rate) : policy_.takeoverTimeout;
}

absl::Duration CapacityAdmission::retryAfter(const CellState& state, const CellJob& job, absl::Duration wait, Random& random)
{
    const double rate = rateLeftFor(state, job.offer().priority);
    const absl::Duration work = rate > 0 ? absl::Seconds(coreSeconds(job.queuedCoreMs()) / rate) : absl::ZeroDuration();
    const absl::Duration reserved = retries_.reserve(job.offer().priority, std::max(wait, backlogTime(state, job)), work, state.now);
    // The jitter spreads callers who get the longest time, and those of several cells that reserve the same time.
    return reserved + std::max(absl::Seconds(1), reserved * retryJitter) * random.unit();
}

} // namespace trefoilwing
