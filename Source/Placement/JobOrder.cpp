#include "Placement/JobOrder.h"

namespace trefoilwing {

namespace {

    /// How far jobs that have begun go ahead, in seconds: about the run time of a short task.
    constexpr double begunLead = 0.05;

    /// Puts jobs that can't be on time behind all that can; any slack is far smaller, in seconds.
    constexpr double latePenalty = 1000;

    /// Separates the priorities; any slack is far smaller, in seconds.
    constexpr double priorityStep = 10;

} // namespace

double LatestStartFirst::rank(const CellJob& job, absl::Time now) const
{
    const double slack = absl::ToDoubleSeconds(job.lateAt() - now - job.offer().estimate);
    double rank = slack;
    if (slack < 0)
        rank += latePenalty;
    if (job.hasStarted)
        rank -= slack < 0 ? latePenalty : begunLead;
    return rank;
}

double PriorityFirst::rank(const CellJob& job, absl::Time now) const
{
    return byStart_.rank(job, now) + priorityStep * job.offer().priority;
}

} // namespace trefoilwing
