#include "Control/OwnerAssigner.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

// Pattern: a data centre has far more minions than one entry's processor can give orders to.
TEST_GROUP(LargePool)
{
    absl::Time now = absl::FromUnixSeconds(1000);
    FleetRegistry registry { { DaemonId("keeper"), Incarnation(1) } };
    OwnerAssigner assigner;
    std::map<CellId, CellGrant> grants;
    const CellId cell { ServiceId("service"), DataCentreId("home") };
    std::vector<MinionReport> minions;

    void setup() override
    {
        assigner.beganLeading(now);
    }

    void reportMinions(uint64_t count)
    {
        for (uint64_t i = 0; i < count; ++i) {
            minions.push_back({ { MinionId("minion-" + std::to_string(i)), MinionBirth(1) }, 1, cell, { "10.1.0." + std::to_string(i), 80 }, { 16000, 65536, 0 }, {}, MinionState::Serving });
            registry.reported(minions.back());
        }
    }

    void hearEntries(uint64_t count)
    {
        for (uint64_t i = 0; i < count; ++i)
            registry.heard({ { DaemonId("entry-" + std::to_string(i)), Incarnation(1) }, DataCentreId("home"), true, false, {}, {}, 0 }, now);
    }

    /// Puts what the assigner proposes in force until it proposes nothing more.
    void settle()
    {
        for (uint64_t round = 1; round < 10; ++round) {
            const std::vector<GrantProposal> proposals = assigner.decide(registry, grants, now);
            if (proposals.empty())
                return;
            for (const GrantProposal& proposal : proposals)
                grants[proposal.record.cell] = { proposal.record.cell, proposal.record.owner, OwnerEpoch(round) };
        }
        FAIL("the owners change again and again");
    }

    /// @return how many minions each entry gives orders to.
    std::map<DaemonId, size_t> minionsByOwner()
    {
        std::map<DaemonId, size_t> counts;
        for (const MinionReport& minion : minions)
            ++counts[grants.at(minion.cell).owner.daemon];
        return counts;
    }
};

// Guards against one entry giving orders to a whole data centre, as on aspa-quotes-grown, where its processor was
// too small for 117 minions and most jobs ran out of time (docs/incidents/short-aspa-quotes-grown.md).
TEST(LargePool, IsDividedAmongItsDataCentresEntries)
{
    reportMinions(117);
    hearEntries(13);
    settle();
    size_t most = 0;
    for (const auto& [owner, count] : minionsByOwner())
        most = std::max(most, count);
    CHECK_COMPARE(most, <=, minions.size() / 4);
}
