#pragma once

#include "Dispatch/Broker/SlotTable.h"
#include "Dispatch/Broker/StrategyRegistry.h"
#include "Model/BrokerMessages.h"

namespace trefoilwing::broker {

/// Decides when a minion that can't serve gets no more work, and when it is tried again.
class Ejection {
public:
    virtual ~Ejection() = default;

    /// Takes how the use of a slot ended; may eject the minion or end its probation.
    virtual void record(SlotTable&, Minion&, const SlotReport&, absl::Time now) = 0;
};

/// @return all ways of ejection: "none", and "faults", which ejects minions that fail far more than the others.
const StrategyRegistry<Ejection>& ejections();

} // namespace trefoilwing::broker
