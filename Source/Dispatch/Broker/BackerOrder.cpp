#include "Dispatch/Broker/BackerOrder.h"

namespace trefoilwing::broker {

namespace {

    /// Treats all backers alike.
    class EqualOrder : public BackerOrder {
    public:
        bool isWithinShare(const Backer&) const override { return true; }
    };

    /// Prefers backers that currently use fewer slots than their share.
    class QuotaOrder : public BackerOrder {
    public:
        bool isWithinShare(const Backer& backer) const override { return backer.inUse < backer.share; }
    };

    /// Prefers backers whose recent average use is below their share, so that a single job may briefly use many slots.
    class AverageQuotaOrder : public BackerOrder {
    public:
        bool isWithinShare(const Backer& backer) const override { return backer.averageUse < backer.share; }
    };

} // namespace

const StrategyRegistry<BackerOrder>& backerOrders()
{
    static const StrategyRegistry<BackerOrder> registry = StrategyRegistry<BackerOrder>()
                                                              .add<AverageQuotaOrder>("average-quota")
                                                              .add<EqualOrder>("equal")
                                                              .add<QuotaOrder>("quota");
    return registry;
}

} // namespace trefoilwing::broker
