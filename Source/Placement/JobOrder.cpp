#include "Placement/JobOrder.h"

namespace trefoilwing {

namespace {

    /// Slack credit of jobs on time that have started, in seconds: about the run time of a short task.
    constexpr double startedJobCreditSeconds = 0.05;

    /// Sorts jobs that can't end on time and haven't started behind the others, in seconds: as much as 100 priorities.
    constexpr double latePenaltySeconds = 1000;

    /// Distance between the sort keys of two adjacent priorities, in seconds. The lower priority goes first only if its
    /// sort key by slack is smaller by more than this.
    constexpr double priorityStepSeconds = 10;

} // namespace

double LeastSlackFirst::rank(const CellJob& job, absl::Time now) const
{
    const double slack = absl::ToDoubleSeconds(job.lateAt() - now - job.offer().estimate);
    double rank = slack;
    if (slack < 0)
        rank += latePenaltySeconds;
    if (job.hasStarted)
        rank -= slack < 0 ? latePenaltySeconds : startedJobCreditSeconds;
    return rank;
}

double PriorityFirst::rank(const CellJob& job, absl::Time now) const
{
    return bySlack_.rank(job, now) + priorityStepSeconds * job.offer().priority;
}

} // namespace trefoilwing
