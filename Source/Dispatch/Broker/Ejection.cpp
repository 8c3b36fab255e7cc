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
            if (evidence == Evidence::Nothing || (evidence == Evidence::Fault && isRepeatedJobFailure(minion, report)))
                return;
            const bool isFault = evidence == Evidence::Fault;
            MinionHealth& health = minion.health;
            ++health.samples;
            const double rate = std::max(faultWeight, 1.0 / health.samples);
            health.faultShare += ((isFault ? 1 : 0) - health.faultShare) * rate;
            if (health.state == HealthState::Serving) {
                if (isFault && isOutlier(slots, minion))
                    eject(slots, minion, now);
            } else if (isFault) {
                eject(slots, minion, now);
            } else if (health.state == HealthState::Probing && ++health.successfulProbes >= minSuccessfulProbes) {
                slots.changeHealth(minion, HealthState::Serving, absl::InfiniteFuture());
                health.faultShare = 0;
                health.samples = 0;
                health.backoff = absl::ZeroDuration();
            }
        }

    private:
        static constexpr double faultWeight = 0.1;
        static constexpr uint32_t minSamples = 5;
        static constexpr double minFaultShare = 0.5;
        static constexpr double minRatioToMean = 3;
        static constexpr double maxEjectedShare = 0.25;
        static constexpr uint32_t minSuccessfulProbes = 3;
        static constexpr absl::Duration initialBackoff = absl::Seconds(1);
        static constexpr absl::Duration maxBackoff = absl::Seconds(30);

        /// Consecutive failures of tasks of one job may be caused by the job, so they count as one fault.
        static bool isRepeatedJobFailure(Minion& minion, const SlotReport& report)
        {
            if (report.ending != SlotEnding::TaskFailed)
                return false;
            const bool isSame = minion.health.lastFailedJob == report.job;
            minion.health.lastFailedJob = report.job;
            return isSame;
        }

        static bool isOutlier(const SlotTable& slots, const Minion& minion)
        {
            if (minion.health.samples < minSamples || minion.health.faultShare < minFaultShare)
                return false;
            const SlotTable::HealthSummary others = slots.summarizeHealth();
            const bool mayEjectMore = others.ejected + 1 <= maxEjectedShare * others.minions;
            // The sum includes the minion itself. All minions have the same weight, regardless of how many faults they report.
            const double othersShare = (others.faultShares - minion.health.faultShare) / std::max(1u, others.minions - 1);
            return mayEjectMore && minion.health.faultShare >= minRatioToMean * othersShare;
        }

        static void eject(SlotTable& slots, Minion& minion, absl::Time now)
        {
            absl::Duration& backoff = minion.health.backoff;
            backoff = std::clamp(backoff * 2, initialBackoff, maxBackoff);
            minion.health.successfulProbes = 0;
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
