#pragma once

#include "Dispatch/Broker/StrategyRegistry.h"

#include <absl/time/time.h>

#include <cstdint>

namespace trefoilwing::broker {

/// Bounds the slots that long tasks may take, so that short ones find a free slot.
class SlotReserve {
public:
    virtual ~SlotReserve() = default;

    /// Takes how many slots short tasks use or wait for.
    virtual void observe(uint32_t shortSlots, absl::Time now) = 0;

    /// @return how many slots long tasks may use.
    virtual uint32_t longLimit(uint32_t totalSlots) const = 0;
};

/// @return all reserves: "none", and "adaptive", which follows the use by short tasks.
const StrategyRegistry<SlotReserve>& slotReserves();

} // namespace trefoilwing::broker
