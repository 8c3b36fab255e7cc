#include "Placement/AdmissionPolicy.h"

#include "Placement/CapacityAdmission.h"

#include <algorithm>

namespace trefoilwing {

namespace {

    constexpr absl::Duration minRetryAfter = absl::Seconds(1);

} // namespace

void AverageWaitAdmission::jobArrived(const JobOffer& offer, absl::Time /*now*/)
{
    const auto milliCores = static_cast<double>(offer.need.milliCores);
    averageMilliCores_ += (milliCores - averageMilliCores_) * (averageMilliCores_ > 0 ? policy_.needWeight : 1);
}

AdmissionDecision AverageWaitAdmission::decide(const CellState& state, CellJob& job)
{
    const absl::Duration wait = expectedWait(state, job);
    // If the job can start at once, its estimate alone is no reason to reject it.
    return { wait <= absl::ZeroDuration() || !job.isTooLateToStart(state.now + wait, policy_.minRemainingFraction), wait };
}

int64_t AverageWaitAdmission::usableMilliCores(int64_t capacity) const
{
    const auto average = static_cast<int64_t>(averageMilliCores_);
    return average > 0 ? capacity / average * average : capacity;
}

absl::Duration AverageWaitAdmission::expectedWait(const CellState& state, const CellJob& job) const
{
    int64_t totalMilliCores = 0;
    int64_t fitting = 0;
    for (const auto& [id, minion] : state.minions) {
        if (!minion->isUsable(state.now))
            continue;
        totalMilliCores += usableMilliCores(minion->report().capacity.milliCores);
        if (job.offer().need.milliCores > 0 && minion->allowsStart(state.now))
            fitting += minion->free().milliCores / job.offer().need.milliCores;
    }
    if (totalMilliCores == 0)
        return policy_.takeoverTimeout;
    const double rank = state.order.rank(job, state.now);
    int64_t aheadCoreMs = 0;
    for (const CellJob& other : state.jobs) {
        if (&other != &job && state.order.rank(other, state.now) <= rank)
            aheadCoreMs += other.queuedCoreMs();
    }
    const int64_t ownCoreMs = aheadCoreMs == 0 && fitting >= static_cast<int64_t>(job.queuedCount()) ? 0 : job.queuedCoreMs();
    return absl::Milliseconds((aheadCoreMs + ownCoreMs) * 1000 / totalMilliCores);
}

absl::Duration AverageWaitAdmission::retryAfter(const CellState& /*state*/, const CellJob& /*job*/, absl::Duration wait, Random& random)
{
    // Random jitter of up to the same duration, so that callers rejected together don't retry together.
    const absl::Duration base = std::max(wait, minRetryAfter);
    return base + base * random.unit();
}

std::unique_ptr<AdmissionPolicy> makeAdmissionPolicy(const DispatchPolicy& policy, absl::Time now)
{
    if (policy.admission == AdmissionRule::Capacity)
        return std::make_unique<CapacityAdmission>(policy, now);
    return std::make_unique<AverageWaitAdmission>(policy);
}

} // namespace trefoilwing
