#include "Dispatch/Broker/BackerOrder.h"

namespace trefoilwing::broker {

namespace {

    /// All backers are alike.
    class EqualOrder : public BackerOrder {
    public:
        bool isWithinShare(const Backer&) const override { return true; }
    };

} // namespace

const StrategyRegistry<BackerOrder>& backerOrders()
{
    static const StrategyRegistry<BackerOrder> registry = StrategyRegistry<BackerOrder>().add<EqualOrder>("equal");
    return registry;
}

} // namespace trefoilwing::broker
