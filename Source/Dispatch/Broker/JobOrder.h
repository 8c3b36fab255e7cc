#pragma once

#include "Dispatch/Broker/Job.h"
#include "Dispatch/Broker/StrategyRegistry.h"

namespace trefoilwing::broker {

/// Orders the jobs of the backers that stand on the same side of their share.
class JobOrder {
public:
    virtual ~JobOrder() = default;

    /// @return the job's place: the lower, the sooner. It may change only with the job's counts.
    virtual double key(const Job&) const = 0;
};

/// @return all job orders: "fifo", "fewest-tasks", "least-work".
const StrategyRegistry<JobOrder>& jobOrders();

} // namespace trefoilwing::broker
