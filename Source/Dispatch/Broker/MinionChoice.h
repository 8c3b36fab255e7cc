#pragma once

#include "Dispatch/Broker/Job.h"
#include "Dispatch/Broker/StrategyRegistry.h"
#include "Ports/Random.h"

namespace trefoilwing::broker {

/// What a choice of a minion may depend on.
struct ChoiceInput {
    /// Its free minions aren't empty.
    const MinionPool& pool;
    const Job& job;
    const TaskKind& kind;
    /// Tasks that go before the job's last waiting one, with itself.
    uint32_t tasksToPlace = 1;
    /// The mean run time of all tasks at a minion of average speed.
    absl::Duration meanRunTime;
    /// Whether the task may be left waiting though a minion is free.
    bool mayWait = true;
};

/// The minion for a job's next task.
struct Choice {
    /// One that has a free slot and that the job doesn't exclude, or null if the task had better wait.
    Minion* minion = nullptr;
    /// How long the task had better wait at most, where a minion is free.
    absl::Duration patience = absl::InfiniteDuration();
};

/// Chooses the minion for a job's next task.
class MinionChoice {
public:
    virtual ~MinionChoice() = default;

    virtual Choice choose(const ChoiceInput&, Random&) const = 0;
};

/// @return all choices of a minion: "random", "fastest", "patient".
const StrategyRegistry<MinionChoice>& minionChoices();

} // namespace trefoilwing::broker
