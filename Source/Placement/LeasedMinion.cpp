#include "Placement/LeasedMinion.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <utility>

namespace trefoilwing {

namespace {

    /// Maximum factor by which one run counts as slower or faster than estimated: a few tasks run far longer than
    /// estimated for reasons other than the minion.
    constexpr double maxRunTimeRatio = 4;

    /// Factor between actual and expected run time from which a run is an outlier. Consecutive outliers in the same
    /// direction show that the minion's speed has changed, since estimates alone are rarely off by as much.
    constexpr double outlierRatio = 2;
    constexpr int outliersUntilChange = 2;

    /// Minimum run time assumed for tasks with a tiny estimate, in seconds: the overhead of a start and its end.
    constexpr double minRunSeconds = 0.01;

} // namespace

LeasedMinion::LeasedMinion(MinionReport report, const DispatchPolicy& policy)
    : health(policy)
    , report_(std::move(report))
    , policy_(policy)
    , claimLimit_(policy)
    , free_(report_.capacity)
{
}

void LeasedMinion::setReport(MinionReport report)
{
    // What an instance has room for is known only with its first own report.
    free_ += report.capacity;
    free_ -= report_.capacity;
    report_ = std::move(report);
}

void LeasedMinion::recordClock(int64_t clockMs, absl::Time now)
{
    if (clockMs <= 0)
        return;
    clockMs_ = clockMs;
    clockAt_ = now;
}

int64_t LeasedMinion::renewLease(absl::Time now)
{
    refreshClaims();
    const absl::Duration lease = claimLimit_.maxLease(claimsEndAt_, now);
    if (lease <= absl::ZeroDuration())
        return 0;
    // Assume the slowest clock that the minion may have, so that the lease never lasts longer than intended.
    const auto elapsed = absl::ToInt64Milliseconds((now - clockAt_) * (1 - policy_.maxClockDrift));
    leasesExpireBy_ = std::max(leasesExpireBy_, now + claimLimit_.timeFor(lease));
    leaseSentAt_ = now;
    return clockMs_ + elapsed + absl::ToInt64Milliseconds(lease);
}

void LeasedMinion::inheritLease(absl::Time now)
{
    leasesExpireBy_ = std::max(leasesExpireBy_, now + claimLimit_.timeFor(policy_.leaseDuration));
}

absl::Time LeasedMinion::claimEndOf(const Run& run) const
{
    return claimLimit_.endOf(run.job ? run.job->claimedAt : absl::InfinitePast());
}

void LeasedMinion::refreshClaims()
{
    claimsEndAt_ = absl::InfiniteFuture();
    for (const auto& [id, run] : runs_)
        claimsEndAt_ = std::min(claimsEndAt_, claimEndOf(run));
}

bool LeasedMinion::isUsable(absl::Time now) const
{
    return isFenced && !isFull && !drainedBy && report_.state == MinionState::Serving && health.isReachable() && !health.isEjected(now)
        && (!health.isOnProbation() || runs_.empty());
}

Run& LeasedMinion::addRun(Run run)
{
    free_ -= run.need;
    claimsEndAt_ = std::min(claimsEndAt_, claimEndOf(run));
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
    refreshClaims();
}

void LeasedMinion::recordCompany(absl::Time now)
{
    const absl::Time since = std::exchange(companyRecordedAt_, now);
    for (auto& [id, run] : runs_) {
        const absl::Duration elapsed = now - std::max(since, run.startedAt);
        for (const auto& [otherId, other] : runs_) {
            if (otherId == id || !other.job)
                continue;
            const RouteName& route = other.job->offer().route;
            const auto known = std::find_if(run.company.begin(), run.company.end(), [&](const RunCompany& company) { return company.route == route; });
            if (known == run.company.end())
                run.company.push_back({ route, elapsed });
            else
                known->duration += elapsed;
        }
    }
}

double LeasedMinion::completionsPerSecond() const
{
    double sum = 0;
    for (const auto& [id, run] : runs_) {
        if (run.job)
            sum += 1 / std::max(absl::ToDoubleSeconds(expectedTime(run.job->offer().estimate)), minRunSeconds);
    }
    return sum;
}

absl::Time LeasedMinion::nextExpectedEnd(absl::Time now) const
{
    absl::Time next = runs_.empty() ? now : absl::InfiniteFuture();
    for (const auto& [id, run] : runs_) {
        if (run.job)
            next = std::min(next, std::max(now, run.startedAt + expectedTime(run.job->offer().estimate)));
    }
    return next;
}

void LeasedMinion::recordRunTime(absl::Duration estimate, absl::Duration taken)
{
    if (estimate <= absl::ZeroDuration())
        return;
    const double ratio = std::clamp(absl::FDivDuration(taken, estimate), 1 / maxRunTimeRatio, maxRunTimeRatio);
    // The first run times are averaged evenly. The mean of logarithms gives twice as slow and twice as fast the same
    // weight.
    const double deviation = std::log(ratio / slowness_);
    if (std::abs(deviation) < std::log(outlierRatio))
        consecutiveOutliers_ = 0;
    else
        consecutiveOutliers_ = deviation > 0 ? std::max(consecutiveOutliers_, 0) + 1 : std::min(consecutiveOutliers_, 0) - 1;
    const double usualWeight = std::max(policy_.speedWeight, 1.0 / static_cast<double>(++recordedRunTimes_ + 1));
    const double weight = std::abs(consecutiveOutliers_) >= outliersUntilChange ? std::max(usualWeight, policy_.changedSpeedWeight) : usualWeight;
    slowness_ = std::exp((1 - weight) * std::log(slowness_) + weight * std::log(ratio));
}

} // namespace trefoilwing
