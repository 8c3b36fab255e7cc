#pragma once

#include "Placement/InterferenceModel.h"

#include <map>
#include <memory>

namespace trefoilwing {

/// The minions of a cell by id; of each, only the newest instance.
using MinionTable = std::map<MinionId, std::unique_ptr<LeasedMinion>>;

/// Chooses the minion on which a task starts.
///
/// Minions differ in speed: a long task can't end in time on a slow minion, while a short one can. When few cores are
/// free, a task therefore gets the slowest minion that ends it in time. If no free minion does, the task waits for a
/// faster one that is expected to become free soon enough.
///
/// Among the minions that would do, one where the task slows others down, or is slowed down by them, counts as slower.
/// That never makes a task wait.
class MinionChooser {
public:
    /// @param interference must outlive the chooser.
    MinionChooser(const DispatchPolicy& policy, const InterferenceModel& interference)
        : policy_(policy)
        , interference_(interference)
    {
    }

    /// @return the minion, or null if the task should wait for free resources or for a faster minion.
    LeasedMinion* choose(const MinionTable&, const CellJob&, const CellTask&, absl::Time now) const;

    /// @return the maximum of each resource, taken separately, that is free on any usable minion. A task that needs
    /// more of any of them fits on no minion.
    static ResourceVector maxFree(const MinionTable&, absl::Time now);

private:
    /// Whether some minion that is busy now is expected to become free soon enough to end the task in time.
    bool isWaitWorthwhile(const MinionTable&, const CellJob&, const CellTask&, absl::Time now) const;
    absl::Time endWithMargin(const LeasedMinion&, const CellJob&, absl::Time start) const;

    const DispatchPolicy& policy_;
    const InterferenceModel& interference_;
};

} // namespace trefoilwing
