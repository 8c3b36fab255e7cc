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

/// Orders jobs by slack: the time until a job has to start to end on time. Late jobs that haven't started come last.
///
/// Started jobs get a small credit, and no penalty if late, since their work is lost if the rest ends too late.
class LeastSlackFirst : public JobOrder {
public:
    double rank(const CellJob&, absl::Time now) const override;
};

/// Adds 10 s per priority of the route to the slack order; late jobs that haven't started still come behind.
class PriorityFirst : public JobOrder {
public:
    double rank(const CellJob&, absl::Time now) const override;

private:
    LeastSlackFirst bySlack_;
};

} // namespace trefoilwing
