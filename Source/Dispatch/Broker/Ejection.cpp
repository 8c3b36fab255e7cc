#include "Dispatch/Broker/Ejection.h"

#include <array>

namespace trefoilwing::broker {

namespace {

    /// What the ending of a slot's use indicates about the minion.
    enum class Evidence {
        Nothing,
        Serves,
        Fault,
    };

    /// Indexed by SlotEnding. A refusal because the minion is busy or leaving isn't a fault.
    constexpr std::array<Evidence, 7> evidenceOfEnding {
        Evidence::Serves,
        Evidence::Fault,
        Evidence::Nothing,
        Evidence::Nothing,
        Evidence::Fault,
        Evidence::Fault,
        Evidence::Nothing,
    };

    class NoEjection : public Ejection {
    public:
        void record(SlotTable&, Minion&, const SlotReport&, absl::Time) override { }
    };

    /// Ejects minions whose share of faults is high and far above the mean, up to a maximum share of all minions.
    class EjectByFaults : public Ejection {
    public:
        void record(SlotTable& slots, Minion& minion, const SlotReport& report, absl::Time now) override
        {
            const Evidence evidence = evidenceOfEnding[static_cast<size_t>(report.ending)];
            if (evidence == Evidence::Nothing || (evidence == Evidence::Fault && isSameJobAgain(minion, report)))
                return;
            const bool isFault = evidence == Evidence::Fault;
            MinionHealth& health = minion.health;
            ++health.samples;
            const double rate = std::max(faultRate, 1.0 / health.samples);
            health.faultShare += ((isFault ? 1 : 0) - health.faultShare) * rate;
            if (health.state == HealthState::Serving) {
                if (isFault && isFarWorse(slots, minion))
                    eject(slots, minion, now);
            } else if (isFault) {
                eject(slots, minion, now);
            } else if (health.state == HealthState::Probing && ++health.goodProbes >= probesToServe) {
                slots.changeHealth(minion, HealthState::Serving, absl::InfiniteFuture());
                health.faultShare = 0;
                health.samples = 0;
                health.backoff = absl::ZeroDuration();
            }
        }

    private:
        static constexpr double faultRate = 0.1;
        static constexpr uint32_t fewestSamples = 5;
        static constexpr double leastFaultShare = 0.5;
        static constexpr double timesTheMean = 3;
        static constexpr double mostEjectedShare = 0.25;
        static constexpr uint32_t probesToServe = 3;
        static constexpr absl::Duration firstBackoff = absl::Seconds(1);
        static constexpr absl::Duration longestBackoff = absl::Seconds(30);

        /// Consecutive failures of tasks of one job may be caused by the job, so they count as one fault.
        static bool isSameJobAgain(Minion& minion, const SlotReport& report)
        {
            if (report.ending != SlotEnding::TaskFailed)
                return false;
            const bool isSame = minion.health.lastFailedJob == report.job;
            minion.health.lastFailedJob = report.job;
            return isSame;
        }

        static bool isFarWorse(const SlotTable& slots, const Minion& minion)
        {
            if (minion.health.samples < fewestSamples || minion.health.faultShare < leastFaultShare)
                return false;
            const SlotTable::HealthSummary others = slots.summarizeHealth();
            const bool mayEjectMore = others.ejected + 1 <= mostEjectedShare * others.minions;
            // The sum includes the minion itself. All minions have the same weight, regardless of how many faults they report.
            const double othersShare = (others.faultShares - minion.health.faultShare) / std::max(1u, others.minions - 1);
            return mayEjectMore && minion.health.faultShare >= timesTheMean * othersShare;
        }

        static void eject(SlotTable& slots, Minion& minion, absl::Time now)
        {
            absl::Duration& backoff = minion.health.backoff;
            backoff = std::clamp(backoff * 2, firstBackoff, longestBackoff);
            minion.health.goodProbes = 0;
            slots.changeHealth(minion, HealthState::Ejected, now + backoff);
        }
    };

} // namespace

const StrategyRegistry<Ejection>& ejections()
{
    static const StrategyRegistry<Ejection> registry = StrategyRegistry<Ejection>()
                                                           .add<EjectByFaults>("faults")
                                                           .add<NoEjection>("none");
    return registry;
}

} // namespace trefoilwing::broker
