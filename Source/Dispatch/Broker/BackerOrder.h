#pragma once

#include "Dispatch/Broker/Backer.h"
#include "Dispatch/Broker/StrategyRegistry.h"

namespace trefoilwing::broker {

/// Tells which backers go first.
class BackerOrder {
public:
    virtual ~BackerOrder() = default;

    /// @return whether the backer's jobs go before those of the backers for which this is false.
    virtual bool isWithinShare(const Backer&) const = 0;
};

/// @return all orders of backers: "equal" makes no difference between them; "quota" puts those first that
/// use fewer slots than their share, "average-quota" those that have done so on average of late.
const StrategyRegistry<BackerOrder>& backerOrders();

} // namespace trefoilwing::broker
