#pragma once

#include "Dispatch/Broker/Job.h"
#include "Dispatch/Broker/StrategyRegistry.h"
#include "Ports/Random.h"

namespace trefoilwing::broker {

/// The input of a minion choice.
struct ChoiceInput {
    /// Has at least one free minion.
    const MinionPool& pool;
    const Job& job;
    const TaskKind& kind;
    /// Number of waiting tasks up to and including the job's last one.
    uint32_t tasksToPlace = 1;
    /// Mean run time of all tasks at a minion of average speed.
    absl::Duration meanRunTime;
    /// Whether the task may be left waiting although a minion is free.
    bool mayWait = true;
};

/// The result of a minion choice.
struct Choice {
    /// A minion with a free slot that the job doesn't exclude, or null if the task should wait.
    Minion* minion = nullptr;
    /// Maximum time that the task should wait if `minion` is null although one is free.
    absl::Duration maxWait = absl::InfiniteDuration();
};

/// Chooses the minion for a job's next task.
class MinionChoice {
public:
    virtual ~MinionChoice() = default;

    virtual Choice choose(const ChoiceInput&, Random&) const = 0;
};

/// @return all minion choice strategies: "random", "fastest", "patient".
const StrategyRegistry<MinionChoice>& minionChoices();

} // namespace trefoilwing::broker
