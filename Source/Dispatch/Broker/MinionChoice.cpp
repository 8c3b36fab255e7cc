#include "Dispatch/Broker/MinionChoice.h"

namespace trefoilwing::broker {

namespace {

    bool excludes(const Job& job, const Minion* minion)
    {
        return std::find(job.excluded.begin(), job.excluded.end(), minion->id) != job.excluded.end();
    }

    /// Any minion that has a free slot.
    class RandomChoice : public MinionChoice {
    public:
        Minion* choose(const std::vector<Minion*>& free, const Job& job, const TaskKind&, Random& random) const override
        {
            const size_t first = random.below(free.size());
            for (size_t i = 0; i < free.size(); ++i) {
                Minion* minion = free[(first + i) % free.size()];
                if (!excludes(job, minion))
                    return minion;
            }
            return nullptr;
        }
    };

    /// The fastest minion that has a free slot.
    class FastestChoice : public MinionChoice {
    public:
        Minion* choose(const std::vector<Minion*>& free, const Job& job, const TaskKind&, Random&) const override
        {
            auto found = std::find_if(free.begin(), free.end(), [&](const Minion* minion) { return !excludes(job, minion); });
            return found == free.end() ? nullptr : *found;
        }
    };

} // namespace

const StrategyRegistry<MinionChoice>& minionChoices()
{
    static const StrategyRegistry<MinionChoice> registry = StrategyRegistry<MinionChoice>()
                                                               .add<FastestChoice>("fastest")
                                                               .add<RandomChoice>("random");
    return registry;
}

} // namespace trefoilwing::broker
