#pragma once

#include "Dispatch/Broker/Job.h"
#include "Dispatch/Broker/StrategyRegistry.h"

namespace trefoilwing::broker {

/// Sorts jobs within a priority group: those of all backers within, or all above, their share.
class JobOrder {
public:
    virtual ~JobOrder() = default;

    /// @return the job's sort key; lower keys are served first. It may change only when the job's counters change.
    virtual double key(const Job&) const = 0;
};

/// @return all job orders: "fifo", "fewest-tasks", "least-work".
const StrategyRegistry<JobOrder>& jobOrders();

} // namespace trefoilwing::broker
