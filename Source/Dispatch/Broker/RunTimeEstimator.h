#pragma once

#include "Dispatch/Broker/Minion.h"
#include "Dispatch/Broker/TaskKind.h"

#include <absl/time/time.h>

namespace trefoilwing::broker {

/// Estimates the run time of each task kind and the relative slowness of each minion from completed tasks.
///
/// A run time is modelled as the product of the kind's run time and the minion's slowness. Both are
/// moving averages of logarithms, so that a single straggler has little effect.
class RunTimeEstimator {
public:
    /// Updates the estimates with the run time of one task.
    static void learn(TaskKind&, Minion&, absl::Duration runTime, absl::Time now);

    /// @return the expected run time of a task of the kind at the minion.
    static absl::Duration expected(const TaskKind& kind, const Minion& minion) { return kind.runTime * minion.slowness; }
};

} // namespace trefoilwing::broker
