#pragma once

#include "Dispatch/Broker/Backer.h"
#include "Dispatch/Broker/StrategyRegistry.h"

namespace trefoilwing::broker {

/// Decides which backers take precedence.
class BackerOrder {
public:
    virtual ~BackerOrder() = default;

    /// @return whether the backer's jobs take precedence over those of backers for which this is false.
    virtual bool isWithinShare(const Backer&) const = 0;
};

/// @return all backer orders: "equal" treats all backers alike; "quota" prefers backers that use fewer
/// slots than their share now, "average-quota" those whose recent average use is below their share.
const StrategyRegistry<BackerOrder>& backerOrders();

} // namespace trefoilwing::broker
