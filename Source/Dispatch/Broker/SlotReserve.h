#pragma once

#include "Dispatch/Broker/StrategyRegistry.h"

#include <absl/time/time.h>

#include <cstdint>

namespace trefoilwing::broker {

/// Limits the slots that long tasks may use, so that short tasks find free slots.
class SlotReserve {
public:
    virtual ~SlotReserve() = default;

    /// Records the number of slots that short tasks use or wait for.
    virtual void observe(uint32_t shortSlots, absl::Time now) = 0;

    /// @return the maximum number of slots that long tasks may use.
    virtual uint32_t maxLongSlots(uint32_t totalSlots) const = 0;
};

/// @return all slot reserves: "none", and "adaptive", which follows the demand of short tasks.
const StrategyRegistry<SlotReserve>& slotReserves();

} // namespace trefoilwing::broker
