#pragma once

#include "Dispatch/Broker/Minion.h"
#include "Dispatch/Broker/TaskKind.h"

#include <absl/time/time.h>

namespace trefoilwing::broker {

/// Learns from the tasks' ends how long each kind of task runs and how slow each minion is.
///
/// A run time is taken as the product of the kind's run time and the minion's slowness. Both are
/// learned as moving averages of logarithms, so that one straggling task moves them little.
class RunTimeLearner {
public:
    /// Takes the run time of one task.
    static void learn(TaskKind&, Minion&, absl::Duration runTime, absl::Time now);

    /// @return how long a task of the kind is expected to run at the minion.
    static absl::Duration expected(const TaskKind& kind, const Minion& minion) { return kind.runTime * minion.slowness; }
};

} // namespace trefoilwing::broker
