#pragma once

#include "Placement/LeasedMinion.h"

#include <map>
#include <memory>

namespace trefoilwing {

/// By id: one life of a minion at a time.
using MinionTable = std::map<MinionId, std::unique_ptr<LeasedMinion>>;

/// Chooses where a task starts.
///
/// Minions differ in speed, so a long task that starts on a slow one may be late from the start while a short
/// one has time to spare. When room is short, tasks take the slowest minion that ends them in time, and wait for
/// a faster one to come free where that still helps.
class MinionChooser {
public:
    explicit MinionChooser(const DispatchPolicy& policy)
        : policy_(policy)
    {
    }

    /// @return null if the task should wait, for room or for a faster minion.
    LeasedMinion* choose(const MinionTable&, const CellJob&, const CellTask&, absl::Time now) const;

    /// @return the most that is free at any usable minion, of each resource by itself. What exceeds it has no room.
    static ResourceVector mostFree(const MinionTable&, absl::Time now);

private:
    /// Whether a minion that is busy now is expected to have room soon enough to end the task in time.
    bool isWaitWorthwhile(const MinionTable&, const CellJob&, const CellTask&, absl::Time now) const;
    absl::Time endWithMargin(const LeasedMinion&, const CellJob&, absl::Time start) const;

    const DispatchPolicy& policy_;
};

} // namespace trefoilwing
