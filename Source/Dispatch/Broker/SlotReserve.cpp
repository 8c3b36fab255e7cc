#include "Dispatch/Broker/SlotReserve.h"

#include <algorithm>
#include <cmath>

namespace trefoilwing::broker {

namespace {

    /// Lets long tasks use all slots.
    class NoReserve : public SlotReserve {
    public:
        void observe(uint32_t, absl::Time) override { }
        uint32_t maxLongSlots(uint32_t totalSlots) const override { return totalSlots; }
    };

    /// Reserves the average number of slots that short tasks use, plus a margin for its variation.
    ///
    /// With random arrivals, the variance of the number of slots in use equals its mean, as in Erlang's formula.
    /// The average rises fast and falls slowly, so long tasks get slots only after short demand has stayed low.
    class AdaptiveReserve : public SlotReserve {
    public:
        void observe(uint32_t shortSlots, absl::Time now) override
        {
            const absl::Duration passed = std::min(now - observedAt_, fallTime);
            observedAt_ = now;
            const absl::Duration time = shortSlots > average_ ? riseTime : fallTime;
            average_ += (shortSlots - average_) * (1 - std::exp(-absl::FDivDuration(passed, time)));
        }

        uint32_t maxLongSlots(uint32_t totalSlots) const override
        {
            const double reserve = average_ < minAverage ? 0 : average_ + marginFactor * std::sqrt(average_) + minMargin;
            return static_cast<uint32_t>(std::max(totalSlots - reserve, totalSlots * minLongShare));
        }

    private:
        static constexpr absl::Duration riseTime = absl::Seconds(2);
        static constexpr absl::Duration fallTime = absl::Seconds(30);
        static constexpr double minAverage = 0.01;
        static constexpr double marginFactor = 3;
        static constexpr double minMargin = 2;
        static constexpr double minLongShare = 0.25;

        double average_ = 0;
        absl::Time observedAt_ = absl::InfinitePast();
    };

} // namespace

const StrategyRegistry<SlotReserve>& slotReserves()
{
    static const StrategyRegistry<SlotReserve> registry = StrategyRegistry<SlotReserve>()
                                                              .add<AdaptiveReserve>("adaptive")
                                                              .add<NoReserve>("none");
    return registry;
}

} // namespace trefoilwing::broker
