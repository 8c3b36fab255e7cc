#include "Dispatch/Broker/BackerOrder.h"

namespace trefoilwing::broker {

namespace {

    /// All backers are alike.
    class EqualOrder : public BackerOrder {
    public:
        bool isWithinShare(const Backer&) const override { return true; }
    };

    /// Backers that use fewer slots than their share go first.
    class QuotaOrder : public BackerOrder {
    public:
        bool isWithinShare(const Backer& backer) const override { return backer.inUse < backer.share; }
    };

    /// Backers that have used fewer slots than their share of late go first, so that one job may briefly use many.
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
