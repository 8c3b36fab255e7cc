#pragma once

#include "Dispatch/Broker/Job.h"
#include "Dispatch/Broker/StrategyRegistry.h"
#include "Ports/Random.h"

namespace trefoilwing::broker {

/// Chooses the minion for a job's next task.
class MinionChoice {
public:
    virtual ~MinionChoice() = default;

    /// @param free the minions with free slots that meet the task's needs, the fastest first; not empty.
    /// @return one of them that the job doesn't exclude, or null if the task had better wait.
    virtual Minion* choose(const std::vector<Minion*>& free, const Job&, const TaskKind&, Random&) const = 0;
};

/// @return all choices of a minion: "random", "fastest".
const StrategyRegistry<MinionChoice>& minionChoices();

} // namespace trefoilwing::broker
