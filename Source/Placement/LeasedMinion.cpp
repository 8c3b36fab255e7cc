#include "Placement/LeasedMinion.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace trefoilwing {

namespace {

    /// One run counts as at most so many times slower or faster: a few tasks are far longer than estimated
    /// for reasons of their own.
    constexpr double maxRatio = 4;

    /// Run times that are so many times above or below what was expected, one after the other, show that the
    /// minion's speed has changed: estimates alone are rarely off by as much.
    constexpr double surprisingRatio = 2;
    constexpr int surprisesUntilChanged = 2;

    /// Bounds the rate of ends of tasks with a tiny estimate, in seconds; a start and its end take as long.
    constexpr double shortestRun = 0.01;

} // namespace

LeasedMinion::LeasedMinion(MinionReport report, const DispatchPolicy& policy)
    : health(policy)
    , report_(std::move(report))
    , policy_(policy)
    , free_(report_.capacity)
{
}

void LeasedMinion::noteClock(int64_t clockMs, absl::Time now)
{
    if (clockMs <= 0)
        return;
    clockMs_ = clockMs;
    clockAt_ = now;
}

int64_t LeasedMinion::extendLease(absl::Time now)
{
    // The slowest clock that the minion may have, so that the lease never lasts longer than meant.
    const auto elapsed = absl::ToInt64Milliseconds((now - clockAt_) * (1 - policy_.clockDrift));
    leaseOverAt_ = std::max(leaseOverAt_, now + policy_.lease / (1 - policy_.clockDrift) + policy_.clockSlack);
    return clockMs_ + elapsed + absl::ToInt64Milliseconds(policy_.lease);
}

bool LeasedMinion::isUsable(absl::Time now) const
{
    return isFenced && !isFull && report_.state == MinionState::Serving && health.isReachable() && !health.isEjected(now)
        && (!health.isOnTrial() || runs_.empty());
}

Run& LeasedMinion::addRun(Run run)
{
    free_ -= run.need;
    const RunId id = run.id;
    return runs_[id] = std::move(run);
}

Run* LeasedMinion::findRun(const RunId& id)
{
    const auto found = runs_.find(id);
    return found == runs_.end() ? nullptr : &found->second;
}

void LeasedMinion::removeRun(const RunId& id)
{
    const auto found = runs_.find(id);
    if (found == runs_.end())
        return;
    free_ += found->second.need;
    runs_.erase(found);
}

double LeasedMinion::completionsPerSecond() const
{
    double sum = 0;
    for (const auto& [id, run] : runs_) {
        if (run.job)
            sum += 1 / std::max(absl::ToDoubleSeconds(expectedTime(run.job->offer().estimate)), shortestRun);
    }
    return sum;
}

absl::Time LeasedMinion::nextEndExpected(absl::Time now) const
{
    absl::Time next = runs_.empty() ? now : absl::InfiniteFuture();
    for (const auto& [id, run] : runs_) {
        if (run.job)
            next = std::min(next, std::max(now, run.startedAt + expectedTime(run.job->offer().estimate)));
    }
    return next;
}

void LeasedMinion::noteRunTime(absl::Duration estimate, absl::Duration taken)
{
    if (estimate <= absl::ZeroDuration())
        return;
    const double ratio = std::clamp(absl::FDivDuration(taken, estimate), 1 / maxRatio, maxRatio);
    // The first run times are averaged; the mean of logarithms lets twice as slow and twice as fast weigh the same.
    const double surprise = std::log(ratio / slowness_);
    if (std::abs(surprise) < std::log(surprisingRatio))
        surprises_ = 0;
    else
        surprises_ = surprise > 0 ? std::max(surprises_, 0) + 1 : std::min(surprises_, 0) - 1;
    const double usualWeight = std::max(policy_.speedWeight, 1.0 / static_cast<double>(++runTimesNoted_ + 1));
    const double weight = std::abs(surprises_) >= surprisesUntilChanged ? std::max(usualWeight, policy_.changedSpeedWeight) : usualWeight;
    slowness_ = std::exp((1 - weight) * std::log(slowness_) + weight * std::log(ratio));
}

} // namespace trefoilwing
