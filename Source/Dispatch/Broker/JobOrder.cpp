#include "Dispatch/Broker/JobOrder.h"

namespace trefoilwing::broker {

namespace {

    double seconds(absl::Time time)
    {
        return absl::ToDoubleSeconds(time - absl::UnixEpoch());
    }

    /// First come, first served.
    class FifoOrder : public JobOrder {
    public:
        double key(const Job& job) const override { return seconds(job.submitted); }
    };

    double waitingWork(const Job& job)
    {
        absl::Duration work;
        for (const auto& demand : job.queued) {
            for (const WaitingTasks& tasks : demand->kinds)
                work += tasks.count * tasks.kind->meanRunTime;
        }
        return absl::ToDoubleSeconds(work);
    }

    /// Serves the job with the fewest waiting tasks first.
    class FewestTasksOrder : public JobOrder {
    public:
        double key(const Job& job) const override { return job.waiting; }
    };

    /// Serves the job with the least expected remaining run time first.
    class LeastWorkOrder : public JobOrder {
    public:
        double key(const Job& job) const override { return waitingWork(job); }
    };

} // namespace

const StrategyRegistry<JobOrder>& jobOrders()
{
    static const StrategyRegistry<JobOrder> registry = StrategyRegistry<JobOrder>()
                                                           .add<FewestTasksOrder>("fewest-tasks")
                                                           .add<FifoOrder>("fifo")
                                                           .add<LeastWorkOrder>("least-work");
    return registry;
}

} // namespace trefoilwing::broker
