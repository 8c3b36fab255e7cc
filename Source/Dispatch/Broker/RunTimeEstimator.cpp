#include "Dispatch/Broker/RunTimeEstimator.h"

#include <algorithm>
#include <cmath>

namespace trefoilwing::broker {

namespace {

    constexpr double kindWeight = 0.01;
    constexpr double minionWeight = 0.03;
    /// The first samples of a kind update only the kind, since they tell more about it than about the minions.
    constexpr uint64_t minKindSamples = 20;
    /// Pulls slowness towards 1: only its product with the run time is observed, so its scale could drift.
    constexpr double slownessDecay = 0.9995;
    constexpr double minSlowness = 0.02;
    constexpr double maxSlowness = 50;
    constexpr absl::Duration minRunTime = absl::Microseconds(10);

} // namespace

void RunTimeEstimator::learn(TaskKind& kind, Minion& minion, absl::Duration runTime, absl::Time now)
{
    const double observed = std::log(absl::ToDoubleSeconds(std::max(runTime, minRunTime)));
    const double known = std::log(absl::ToDoubleSeconds(std::max(kind.runTime, minRunTime)));
    const double slowness = std::log(minion.slowness);
    const double error = observed - known - slowness;
    ++kind.samples;
    kind.learnedAt = now;
    kind.meanRunTime += (runTime / minion.slowness - kind.meanRunTime) * std::max(kindWeight, 1.0 / static_cast<double>(kind.samples));
    kind.runTime = absl::Seconds(std::exp(known + error * std::max(kindWeight, 1.0 / static_cast<double>(kind.samples))));
    if (kind.samples < minKindSamples)
        return;
    ++minion.samples;
    const double rate = std::max(minionWeight, 1.0 / static_cast<double>(minion.samples + 1));
    minion.slowness = std::clamp(std::exp(slownessDecay * slowness + error * rate), minSlowness, maxSlowness);
}

} // namespace trefoilwing::broker
