#pragma once

#include "Placement/CellJob.h"

namespace trefoilwing {

/// Strategy that decides in which order queued jobs are placed.
class JobOrder {
public:
    virtual ~JobOrder() = default;

    /// @return the job's sort key, in seconds of slack; the lowest is placed first.
    virtual double rank(const CellJob&, absl::Time now) const = 0;
};

/// Orders jobs by slack: the time left until a job has to start to end on time. Jobs that can't end on time come last.
///
/// Jobs that have already started are moved ahead, since their work is lost if the remaining tasks end too late.
class LeastSlackFirst : public JobOrder {
public:
    double rank(const CellJob&, absl::Time now) const override;
};

/// Orders jobs by the priority of their route, then by slack.
class PriorityFirst : public JobOrder {
public:
    double rank(const CellJob&, absl::Time now) const override;

private:
    LeastSlackFirst bySlack_;
};

} // namespace trefoilwing
