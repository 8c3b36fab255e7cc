#pragma once

#include "Dispatch/Broker/SlotTable.h"
#include "Dispatch/Broker/StrategyRegistry.h"
#include "Model/BrokerMessages.h"

namespace trefoilwing::broker {

/// Decides when a faulty minion is excluded from new work, and when it is probed again.
class Ejection {
public:
    virtual ~Ejection() = default;

    /// Records how the use of a slot ended. May eject the minion or return a probed one to service.
    virtual void record(SlotTable&, Minion&, const SlotReport&, absl::Time now) = 0;
};

/// @return all ejection strategies: "none", and "faults", which ejects minions that fail far more often than the others.
const StrategyRegistry<Ejection>& ejections();

} // namespace trefoilwing::broker
