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

} // namespace

const StrategyRegistry<JobOrder>& jobOrders()
{
    static const StrategyRegistry<JobOrder> registry = StrategyRegistry<JobOrder>().add<FifoOrder>("fifo");
    return registry;
}

} // namespace trefoilwing::broker
