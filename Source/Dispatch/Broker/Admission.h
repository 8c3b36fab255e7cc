#pragma once

#include "Base/Error.h"
#include "Dispatch/Broker/Job.h"
#include "Dispatch/Broker/StrategyRegistry.h"

namespace trefoilwing::broker {

/// Decides how long a job that has been granted nothing goes on waiting.
class Admission {
public:
    virtual ~Admission() = default;

    /// @return when the job is rejected unless a task of it has been granted a slot before.
    virtual absl::Time giveUpAt(const Job&) const = 0;

    /// @return the error of a job whose time to start has passed.
    virtual Error rejection(const Job&) const = 0;
};

/// @return all ways of admission: "all" lets every job wait until its deadline.
const StrategyRegistry<Admission>& admissions();

} // namespace trefoilwing::broker
