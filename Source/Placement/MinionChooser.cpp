#include "Placement/MinionChooser.h"

#include <algorithm>

namespace trefoilwing {

namespace {

    /// Slowdowns by interference that differ by less count as equal, so that noise doesn't take fast minions from the tasks
    /// that need them.
    constexpr double slowdownStep = 0.1;

} // namespace

absl::Time MinionChooser::endWithMargin(const LeasedMinion& minion, const CellJob& job, absl::Time start) const
{
    return start + minion.expectedTime(job.offer().estimate) * (1 + policy_.speedMargin);
}

bool MinionChooser::isWaitWorthwhile(const MinionTable& minions, const CellJob& job, const CellTask& task, absl::Time now) const
{
    return std::any_of(minions.begin(), minions.end(), [&](const auto& entry) {
        const LeasedMinion& minion = *entry.second;
        return entry.first != task.avoidedMinion && minion.isUsable(now) && minion.report().capacity.holds(job.offer().need)
            && endWithMargin(minion, job, minion.nextExpectedEnd(now)) <= job.lateAt();
    });
}

ResourceVector MinionChooser::maxFree(const MinionTable& minions, absl::Time now)
{
    ResourceVector most;
    for (const auto& [id, minion] : minions) {
        if (!minion->isUsable(now) || !minion->allowsStart(now))
            continue;
        const ResourceVector& free = minion->free();
        most.milliCores = std::max(most.milliCores, free.milliCores);
        most.memoryMb = std::max(most.memoryMb, free.memoryMb);
        most.accelerators = std::max(most.accelerators, free.accelerators);
    }
    return most;
}

LeasedMinion* MinionChooser::choose(const MinionTable& minions, const CellJob& job, const CellTask& task, absl::Time now) const
{
    LeasedMinion* fastest = nullptr;
    double leastRunTime = 0;
    LeasedMinion* slowestInTime = nullptr;
    double leastSlowdown = 0;
    LeasedMinion* avoided = nullptr;
    int64_t totalMilliCores = 0;
    int64_t freeMilliCores = 0;
    for (const auto& [id, minion] : minions) {
        if (!minion->isUsable(now))
            continue;
        totalMilliCores += minion->report().capacity.milliCores;
        if (!minion->allowsStart(now))
            continue;
        freeMilliCores += minion->free().milliCores;
        if (!minion->free().holds(job.offer().need))
            continue;
        if (id == task.avoidedMinion) {
            avoided = minion.get();
            continue;
        }
        const double slowdown = interference_.slowdown(job, *minion);
        const double runTime = minion->slowness() * (1 + slowdown);
        if (!fastest || runTime < leastRunTime) {
            fastest = minion.get();
            leastRunTime = runTime;
        }
        if (endWithMargin(*minion, job, now) > job.lateAt())
            continue;
        const bool isLessHarmful = slowdown < leastSlowdown - slowdownStep;
        const bool isAsHarmful = slowdown <= leastSlowdown + slowdownStep;
        if (!slowestInTime || isLessHarmful || (isAsHarmful && minion->slowness() > slowestInTime->slowness())) {
            slowestInTime = minion.get();
            leastSlowdown = slowdown;
        }
    }
    if (!fastest)
        return avoided;
    if (slowestInTime) {
        const bool isRoomAmple = static_cast<double>(freeMilliCores) >= policy_.ampleCoresFraction * static_cast<double>(totalMilliCores);
        return isRoomAmple ? fastest : slowestInTime;
    }
    return isWaitWorthwhile(minions, job, task, now) ? nullptr : fastest;
}

} // namespace trefoilwing
