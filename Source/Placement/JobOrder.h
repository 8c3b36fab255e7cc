#pragma once

#include "Placement/CellJob.h"

namespace trefoilwing {

/// Says which of the queued jobs gets room first.
class JobOrder {
public:
    virtual ~JobOrder() = default;

    /// @return the job's place, lower first, in seconds of slack.
    virtual double rank(const CellJob&, absl::Time now) const = 0;
};

/// The job that has to start soonest to end on time comes first; jobs that can't be on time come last.
///
/// Jobs that have begun go a little ahead: their work is lost if the rest comes too late.
class LatestStartFirst : public JobOrder {
public:
    double rank(const CellJob&, absl::Time now) const override;
};

/// The most urgent route first, then by latest start.
class PriorityFirst : public JobOrder {
public:
    double rank(const CellJob&, absl::Time now) const override;

private:
    LatestStartFirst byStart_;
};

} // namespace trefoilwing
