#include "Placement/MinionChooser.h"

#include <algorithm>

namespace trefoilwing {

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
    LeasedMinion* slowestInTime = nullptr;
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
        if (!fastest || minion->slowness() < fastest->slowness())
            fastest = minion.get();
        if (endWithMargin(*minion, job, now) <= job.lateAt() && (!slowestInTime || minion->slowness() > slowestInTime->slowness()))
            slowestInTime = minion.get();
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
