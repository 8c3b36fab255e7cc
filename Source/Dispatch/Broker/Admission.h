#pragma once

#include "Base/Error.h"
#include "Dispatch/Broker/Job.h"
#include "Dispatch/Broker/StrategyRegistry.h"

namespace trefoilwing::broker {

/// What there is to do and what can be done, for decisions about admission.
struct LoadView {
    absl::Time now;
    /// Seconds of work, at a minion of average speed, that all slots do in a second.
    double capacity = 0;
    /// Waiting work of the jobs that have started.
    absl::Duration startedWork;
};

/// Decides how long a job waits for its first slot, and which started jobs go before all others.
class Admission {
public:
    virtual ~Admission() = default;

    /// @return when a job that hasn't started is rejected.
    virtual absl::Time giveUpAt(const Job&, const LoadView&) const = 0;

    /// @return whether a job that hasn't started can still be ended in time.
    virtual bool mayStart(const Job&, const LoadView&) const = 0;

    /// @return when a started job has to go before all others to end in time.
    virtual absl::Time urgentAt(const Job&, const LoadView&) const = 0;

    virtual Error rejection(const Job&, absl::Time now) const;
};

/// @return all ways of admission: "all" lets every job wait until its deadline, "deadline" starts a job
/// only if it can end in time.
const StrategyRegistry<Admission>& admissions();

} // namespace trefoilwing::broker
