#include "Placement/JobOrder.h"

namespace trefoilwing {

namespace {

    /// Slack credit of jobs that have started, in seconds: about the run time of a short task.
    constexpr double startedJobCreditSeconds = 0.05;

    /// Sorts jobs that can't end on time behind all others, in seconds: far more than any slack.
    constexpr double latePenaltySeconds = 1000;

    /// Distance between the sort keys of two priorities, in seconds: far more than any slack.
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
