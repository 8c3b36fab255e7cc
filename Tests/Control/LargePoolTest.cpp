#include "Control/FleetState.h"
#include "Control/OwnerAssigner.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

// Scenario: a data centre has far more minions than one entry's processor can handle.
TEST_GROUP(LargePool)
{
    absl::Time now = absl::FromUnixSeconds(1000);
    FleetRegistry registry { { DaemonId("keeper"), Incarnation(1) } };
    OwnerAssigner assigner;
    FleetState state;
    uint64_t lastIndex = 0;
    const PoolId pool { ServiceId("service"), DataCentreId("home") };
    std::vector<MinionReport> minions;

    void setup() override
    {
        assigner.startedLeading(now);
        registry.setServices({ pool.service }, now);
    }

    void reportMinions(uint64_t count)
    {
        for (uint64_t i = 0; i < count; ++i) {
            minions.push_back({ { MinionId("minion-" + std::to_string(i)), MinionStartTime(1) }, 1, pool, { "10.1.0." + std::to_string(i), 80 }, { 16000, 65536, 0 }, {}, MinionState::Serving });
            registry.minionReported(minions.back(), now);
        }
    }

    static constexpr uint32_t smallEntry = 90;
    static constexpr uint32_t largeEntry = 300;

    /// @param milliCores processor capacity of the entry, in thousandths of a core.
    void heartbeatFrom(const std::string& name, uint32_t milliCores = smallEntry, uint64_t run = 1)
    {
        registry.heartbeatReceived({ { DaemonId(name), Incarnation(run) }, DataCentreId("home"), true, false, {}, {}, 0, milliCores }, now);
    }

    void heartbeatsFromEntries(uint64_t count)
    {
        for (uint64_t i = 0; i < count; ++i)
            heartbeatFrom("entry-" + std::to_string(i));
    }

    /// Applies the assigner's proposals for some seconds in which all entries send heartbeats, and checks that it then
    /// proposes nothing more.
    void settle()
    {
        for (int round = 0; round < 40; ++round) {
            apply();
            now += absl::Milliseconds(250);
            for (const auto& [id, daemon] : std::map(registry.daemons()))
                registry.heartbeatReceived({ daemon.info.run, daemon.info.dataCentre, true, false, {}, {}, 0, daemon.milliCores }, now);
        }
        CHECK_FALSE(apply());
    }

    /// @return whether the assigner proposed anything.
    bool apply()
    {
        const std::vector<GrantProposal> proposals = assigner.decide(registry, state.grants(), now);
        for (const GrantProposal& proposal : proposals)
            CHECK(state.apply(proposal.record, LogIndex(++lastIndex)));
        return !proposals.empty();
    }

    /// @return the number of minions that each entry controls.
    std::map<DaemonId, size_t> minionsByOwner()
    {
        std::map<DaemonId, size_t> counts;
        for (const MinionReport& minion : minions) {
            size_t owners = 0;
            for (const auto& [cell, grant] : state.grants()) {
                if (!isInCell(minion, cell))
                    continue;
                ++owners;
                ++counts[grant.owner.daemon];
            }
            LONGS_EQUAL(1, owners);
        }
        return counts;
    }

    /// @return the number of cells that each entry owns.
    std::map<DaemonId, size_t> cellsByOwner() const
    {
        std::map<DaemonId, size_t> counts;
        for (const auto& [cell, grant] : state.grants())
            ++counts[grant.owner.daemon];
        return counts;
    }
};

// Guards against one entry controlling a whole data centre, as on aspa-quotes-grown, where its processor was
// too small for 117 minions and most jobs timed out (docs/incidents/short-aspa-quotes-grown.md).
TEST(LargePool, IsDividedAmongItsDataCentresEntries)
{
    reportMinions(117);
    heartbeatsFromEntries(13);
    settle();
    size_t most = 0;
    for (const auto& [owner, count] : minionsByOwner())
        most = std::max(most, count);
    CHECK_COMPARE(most, <=, minions.size() / 4);
}

TEST(LargePool, EntriesGetCellsInProportionToTheirProcessors)
{
    reportMinions(117);
    heartbeatFrom("large-1", largeEntry);
    heartbeatFrom("large-2", largeEntry);
    for (int i = 0; i < 10; ++i)
        heartbeatFrom("small-" + std::to_string(i));
    settle();
    for (const auto& [owner, count] : cellsByOwner())
        CHECK_COMPARE(count, <=, owner.value().starts_with("large") ? 3 : 1);
}

// Small cells make it harder to find room for a job, so a pool isn't divided into more cells than its entries need.
TEST(LargePool, StrongEntriesGetLargeCells)
{
    reportMinions(117);
    heartbeatFrom("large-1", largeEntry);
    heartbeatFrom("large-2", largeEntry);
    for (int i = 0; i < 10; ++i)
        heartbeatFrom("small-" + std::to_string(i));
    settle();
    LONGS_EQUAL(2, state.grants().size());
    for (const auto& [owner, count] : cellsByOwner())
        CHECK(owner.value().starts_with("large"));
}

TEST(LargePool, IsNotDividedIfAnEntryHasAWholeCore)
{
    reportMinions(117);
    for (int i = 0; i < 3; ++i)
        heartbeatFrom("entry-" + std::to_string(i), defaultMilliCores);
    settle();
    LONGS_EQUAL(1, state.grants().size());
}

// Scenario: the strong entries are killed and don't come back.
TEST(LargePool, IsDividedAgainWhenOnlySmallEntriesAreLeft)
{
    reportMinions(117);
    heartbeatFrom("large-1", largeEntry);
    heartbeatFrom("large-2", largeEntry);
    heartbeatsFromEntries(10);
    settle();
    LONGS_EQUAL(2, state.grants().size());
    for (int round = 0; round < 48; ++round) {
        now += absl::Milliseconds(250);
        heartbeatsFromEntries(10);
        apply();
    }
    for (const auto& [owner, count] : minionsByOwner())
        CHECK_COMPARE(count, <=, 30U);
}

TEST(LargePool, ASmallPoolIsOneCell)
{
    reportMinions(16);
    heartbeatsFromEntries(3);
    settle();
    LONGS_EQUAL(1, state.grants().size());
}

// Dividing a pool ends its jobs in progress, so a moderate change in the number of minions must not cause it.
TEST(LargePool, ADividedPoolKeepsItsCellsWhileItGrowsByHalf)
{
    reportMinions(117);
    heartbeatsFromEntries(13);
    settle();
    const std::map<CellId, CellGrant> before = state.grants();
    reportMinions(58);
    settle();
    CHECK(before == state.grants());
}

// Scenario: all processes lose power and become reachable again one after the other.
TEST(LargePool, RestartedOwnersKeepTheirCells)
{
    reportMinions(117);
    heartbeatsFromEntries(13);
    settle();
    const auto before = cellsByOwner();
    for (int i = 0; i < 13; ++i) {
        heartbeatFrom("entry-" + std::to_string(i), smallEntry, 2);
        now += absl::Milliseconds(20);
        apply();
    }
    CHECK(before == cellsByOwner());
}

// Scenario: many entries are killed at the same moment and come back. Guards against the survivors keeping all cells,
// more than their processors can handle, once the others are back.
TEST(LargePool, ReturningEntriesTakeCellsFromOverloadedOnes)
{
    reportMinions(117);
    heartbeatsFromEntries(8);
    settle();
    for (int i = 0; i < 16; ++i) {
        now += absl::Milliseconds(250);
        heartbeatFrom("entry-0");
        heartbeatFrom("entry-1");
        apply();
    }
    LONGS_EQUAL(2, cellsByOwner().size());
    for (int i = 2; i < 8; ++i)
        heartbeatFrom("entry-" + std::to_string(i), smallEntry, 2);
    settle();
    for (const auto& [owner, count] : cellsByOwner())
        CHECK_COMPARE(count, <=, 2U);
}

TEST(LargePool, CellsMoveOneByOneToReturningEntries)
{
    reportMinions(117);
    heartbeatsFromEntries(1);
    settle();
    for (int i = 1; i < 8; ++i)
        heartbeatFrom("entry-" + std::to_string(i));
    now += absl::Seconds(4);
    for (int round = 0; round < 8; ++round) {
        now += absl::Milliseconds(600);
        for (int i = 0; i < 8; ++i)
            heartbeatFrom("entry-" + std::to_string(i));
        CHECK_COMPARE(assigner.decide(registry, state.grants(), now).size(), <=, 1U);
    }
}
