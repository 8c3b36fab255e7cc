#pragma once

#include "Base/Error.h"
#include "Dispatch/Broker/Job.h"
#include "Dispatch/Broker/StrategyRegistry.h"

namespace trefoilwing::broker {

/// The current load and capacity that admission decisions are based on.
struct LoadView {
    absl::Time now;
    /// Work that all slots complete per second, in seconds of run time at a minion of average speed.
    double capacity = 0;
    /// Total expected run time of the waiting tasks of started jobs.
    absl::Duration startedWork;
};

/// Decides when a job that hasn't started is rejected, and when a started job becomes urgent.
class Admission {
public:
    virtual ~Admission() = default;

    /// @return the time at which the job is rejected if it hasn't started by then.
    virtual absl::Time rejectAt(const Job&, const LoadView&) const = 0;

    /// @return whether a job that hasn't started can still meet its deadline.
    virtual bool mayStart(const Job&, const LoadView&) const = 0;

    /// @return the time from which a started job takes precedence over all others to meet its deadline.
    virtual absl::Time urgentAt(const Job&, const LoadView&) const = 0;

    virtual Error rejection(const Job&, absl::Time now) const;
};

/// @return all admission strategies: "all" lets every job wait until its deadline, "deadline" starts a job
/// only if it can meet its deadline.
const StrategyRegistry<Admission>& admissions();

} // namespace trefoilwing::broker
