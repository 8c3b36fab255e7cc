#include "Dispatch/Broker/MinionChoice.h"

namespace trefoilwing::broker {

namespace {

    bool excludes(const Job& job, const Minion* minion)
    {
        return std::find(job.excluded.begin(), job.excluded.end(), minion->id) != job.excluded.end();
    }

    /// Chooses a random minion with a free slot.
    class RandomChoice : public MinionChoice {
    public:
        Choice choose(const ChoiceInput& input, Random& random) const override
        {
            const std::vector<Minion*>& free = input.pool.free;
            const size_t first = random.below(free.size());
            for (size_t i = 0; i < free.size(); ++i) {
                Minion* minion = free[(first + i) % free.size()];
                if (!excludes(input.job, minion))
                    return { minion };
            }
            return {};
        }
    };

    Minion* fastestFree(const ChoiceInput& input)
    {
        const std::vector<Minion*>& free = input.pool.free;
        auto found = std::find_if(free.begin(), free.end(), [&](const Minion* minion) { return !excludes(input.job, minion); });
        return found == free.end() ? nullptr : *found;
    }

    /// Chooses the fastest minion with a free slot.
    class FastestChoice : public MinionChoice {
    public:
        Choice choose(const ChoiceInput& input, Random&) const override { return { fastestFree(input) }; }
    };

    /// Chooses the fastest minion with a free slot, unless the job is expected to end sooner by waiting for a faster one.
    class WaitForFasterChoice : public MinionChoice {
    public:
        Choice choose(const ChoiceInput& input, Random&) const override
        {
            Minion* minion = fastestFree(input);
            if (!minion || !input.mayWait)
                return { minion };
            const double runTime = absl::ToDoubleSeconds(input.kind.runTime);
            const double tasksTime = input.tasksToPlace * absl::ToDoubleSeconds(input.meanRunTime);
            const double now = runTime * minion->slowness;
            double best = now;
            for (const SpeedStep& step : input.pool.steps) {
                if (step.slowness >= minion->slowness)
                    break;
                best = std::min(best, tasksTime / step.completionRate + runTime * step.slowness);
            }
            if (best >= now)
                return { minion };
            return { nullptr, absl::Seconds(std::min(now - best, maxWaitShare * runTime)) };
        }

    private:
        /// Maximum wait for a faster minion, as a share of the task's run time.
        static constexpr double maxWaitShare = 0.2;
    };

} // namespace

const StrategyRegistry<MinionChoice>& minionChoices()
{
    static const StrategyRegistry<MinionChoice> registry = StrategyRegistry<MinionChoice>()
                                                               .add<FastestChoice>("fastest")
                                                               .add<WaitForFasterChoice>("patient")
                                                               .add<RandomChoice>("random");
    return registry;
}

} // namespace trefoilwing::broker
