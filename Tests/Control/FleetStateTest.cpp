#include "Control/FleetState.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

TEST_GROUP(FleetState)
{
    FleetState state;
    const CellId cell { ServiceId("service"), DataCentreId("home") };

    static RoutingRecord routing(uint64_t version, const std::string& text)
    {
        return { { RoutingVersion(version), text } };
    }

    static MinionRecord minion(const std::string& id, uint64_t startTime, uint64_t sequence, const std::string& address)
    {
        return { { { MinionId(id), MinionStartTime(startTime) }, sequence, { ServiceId("service"), DataCentreId("home") }, { address, 80 }, {}, {}, MinionState::Serving } };
    }
};

// Scenario: operators publish concurrently, repeat requests, and publish outdated versions.
TEST(FleetState, TheHighestRoutingVersionIsInForceInAnyOrder)
{
    CHECK(state.apply(routing(5, "five")));
    CHECK_FALSE(state.apply(routing(3, "three")));
    CHECK_FALSE(state.apply(routing(5, "other five")));
    STRCMP_EQUAL("five", state.routing().text.c_str());
}

TEST(FleetState, OnlyOneOfTwoGrantsOnTheSameEpochIsApplied)
{
    CHECK(state.apply(GrantRecord { cell, { DaemonId("a"), Incarnation(1) }, OwnerEpoch(0) }, LogIndex(7)));
    CHECK_FALSE(state.apply(GrantRecord { cell, { DaemonId("b"), Incarnation(1) }, OwnerEpoch(0) }, LogIndex(8)));
    CHECK(state.apply(GrantRecord { cell, { DaemonId("b"), Incarnation(1) }, OwnerEpoch(7) }, LogIndex(9)));
    LONGS_EQUAL(9, state.grants().at(cell).epoch.value());
}

// Scenario: a leader divides a pool while grants of the earlier division are still in flight.
TEST(FleetState, GrantsOfAnEarlierDivisionAreRejected)
{
    const DaemonRun owner { DaemonId("a"), Incarnation(1) };
    CellId half = cell;
    half.part = { 1, 2 };
    CHECK(state.apply(GrantRecord { cell, owner, OwnerEpoch(0) }, LogIndex(7)));
    CHECK(state.apply(GrantRecord { half, owner, OwnerEpoch(0) }, LogIndex(8)));
    CHECK_FALSE(state.apply(GrantRecord { cell, owner, OwnerEpoch(7) }, LogIndex(9)));
    CHECK_FALSE(state.apply(GrantRecord { cell, owner, OwnerEpoch(0) }, LogIndex(10)));
    LONGS_EQUAL(1, state.grants().size());
    LONGS_EQUAL(8, state.grants().at(half).epoch.value());
}

TEST(FleetState, KeepsOnlyTheNewestMinionAtAnAddress)
{
    CHECK(state.apply(minion("a", 1, 1, "10.0.0.1")));
    CHECK_FALSE(state.apply(minion("a", 1, 1, "10.0.0.1")));
    CHECK(state.apply(minion("b", 2, 1, "10.0.0.1")));
    LONGS_EQUAL(1, state.minions().size());
    CHECK_FALSE(state.apply(MinionGoneRecord { { MinionId("b"), MinionStartTime(1) } }));
    CHECK(state.apply(MinionGoneRecord { { MinionId("b"), MinionStartTime(2) } }));
    LONGS_EQUAL(0, state.minions().size());
}

TEST(FleetState, ASnapshotHoldsTheWholeState)
{
    state.apply(routing(5, "five"));
    state.apply(GrantRecord { cell, { DaemonId("a"), Incarnation(1) }, OwnerEpoch(0) }, LogIndex(7));
    state.apply(minion("a", 1, 1, "10.0.0.1"));
    FleetState restored;
    restored.restore(state.snapshot());
    CHECK(restored.routing() == state.routing());
    CHECK(restored.grants() == state.grants());
    CHECK(restored.minions() == state.minions());
}

// Guards against a minion that has left and is in use again after the keepers have restarted: a report that another keeper
// had proposed was committed after its departure.
TEST(FleetState, ALateReportDoesntAddAMinionThatLeft)
{
    CHECK(state.apply(minion("m", 3, 1, "address")));
    CHECK(state.apply(MinionGoneRecord { { MinionId("m"), MinionStartTime(3) } }));
    FleetState restored;
    restored.restore(state.snapshot());
    for (FleetState* each : { &state, &restored }) {
        CHECK_FALSE(each->apply(minion("m", 3, 2, "address")));
        CHECK_FALSE(each->apply(minion("m", 2, 9, "address")));
        LONGS_EQUAL(0, each->minions().size());
        CHECK(each->apply(minion("m", 4, 1, "address")));
    }
}

TEST(FleetState, ADepartureMayComeBeforeTheReport)
{
    CHECK_FALSE(state.apply(MinionGoneRecord { { MinionId("m"), MinionStartTime(3) } }));
    CHECK_FALSE(state.apply(minion("m", 3, 1, "address")));
}
