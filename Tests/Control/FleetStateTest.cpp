#include "Control/FleetState.h"

#include <algorithm>
#include <variant>
#include <vector>

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

    static EvacuationRecord order(bool isEvacuated, uint64_t previous, uint64_t number = 1)
    {
        return { DataCentreId("home"), isEvacuated, EvacuationRevision(previous), { DaemonId("keeper"), Incarnation(1) }, number };
    }

    bool isEvacuated() const
    {
        return state.evacuationOf(DataCentreId("home")).isEvacuated;
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

// Guards against a minion at work that the log drops because of a report for another service with its address (review/9).
// Keepers of earlier versions put such reports into the log.
TEST(FleetState, AReportForAnotherServiceRemovesNoMinionAtItsAddress)
{
    MinionRecord other = minion("b", 2, 1, "10.0.0.1");
    other.report.pool.service = ServiceId("billing");
    CHECK(state.apply(minion("a", 1, 1, "10.0.0.1")));
    CHECK(state.apply(other));
    CHECK(state.minions().contains(MinionId("a")));
    FleetState restored;
    restored.restore(state.snapshot());
    CHECK(restored.apply(minion("a", 1, 2, "10.0.0.1")));
}

TEST(FleetState, ALateReportFromAnAddressThatALaterMinionUsesIsIgnored)
{
    CHECK(state.apply(minion("b", 2, 1, "10.0.0.1")));
    CHECK_FALSE(state.apply(minion("a", 1, 9, "10.0.0.1")));
    LONGS_EQUAL(1, state.minions().size());
}

TEST(FleetState, AReportThatContradictsAKnownInstanceIsIgnored)
{
    const MinionRecord known = minion("a", 1, 1, "10.0.0.1");
    CHECK(state.apply(known));
    CHECK_FALSE(state.apply(minion("a", 1, 2, "10.0.0.2")));
    MinionRecord other = minion("a", 1, 3, "10.0.0.1");
    other.report.pool.service = ServiceId("billing");
    CHECK_FALSE(state.apply(other));
    CHECK(state.minions().at(MinionId("a")) == known.report);
}

// Guards against a nameless minion in the log: a first report without a start time and with the sequence 0 left one.
TEST(FleetState, AFirstReportWithoutStartTimeAndSequenceIsStored)
{
    const MinionRecord first = minion("a", 0, 0, "10.0.0.1");
    CHECK(state.apply(first));
    CHECK(state.minions().at(MinionId("a")) == first.report);
}

TEST(FleetState, ASnapshotHoldsTheWholeState)
{
    state.apply(routing(5, "five"));
    state.apply(GrantRecord { cell, { DaemonId("a"), Incarnation(1) }, OwnerEpoch(0) }, LogIndex(7));
    state.apply(minion("a", 1, 1, "10.0.0.1"));
    state.apply(order(true, 0), LogIndex(8));
    FleetState restored;
    restored.restore(state.snapshot());
    CHECK(restored.evacuations() == state.evacuations());
    CHECK(restored.evacuationOf(DataCentreId("home")) == (Evacuation { DataCentreId("home"), EvacuationRevision(8), true }));
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

// Guards against an order that was held up in the network and takes effect after it was withdrawn.
TEST(FleetState, AnEvacuationIsAppliedOnlyOnTheRevisionThatItNames)
{
    CHECK(state.apply(order(true, 0), LogIndex(7)));
    CHECK(isEvacuated());
    CHECK(state.apply(order(false, 7), LogIndex(9)));
    CHECK_FALSE(state.apply(order(true, 0), LogIndex(10)));
    CHECK_FALSE(state.apply(order(true, 7), LogIndex(11)));
    CHECK_FALSE(isEvacuated());
    LONGS_EQUAL(9, state.evacuationOf(DataCentreId("home")).revision.value());
}

// Guards against an order that takes effect after its withdrawal because it was held up while the withdrawal found nothing
// to withdraw, and the other way round.
TEST(FleetState, AnOrderThatChangesNothingFendsOffEarlierOnes)
{
    CHECK(state.apply(order(false, 0, 2), LogIndex(7)));
    CHECK_FALSE(state.apply(order(true, 0, 1), LogIndex(8)));
    CHECK_FALSE(isEvacuated());
    CHECK(state.apply(order(true, 7, 3), LogIndex(9)));
    CHECK(state.apply(order(true, 9, 5), LogIndex(10)));
    CHECK_FALSE(state.apply(order(false, 9, 4), LogIndex(11)));
    CHECK(isEvacuated());
}

TEST(FleetState, DataCentresAreEvacuatedIndependently)
{
    CHECK(state.apply(order(true, 0), LogIndex(7)));
    EvacuationRecord other = order(true, 0);
    other.dataCentre = DataCentreId("away");
    CHECK(state.apply(other, LogIndex(8)));
    CHECK(state.apply(order(false, 7), LogIndex(9)));
    CHECK_FALSE(isEvacuated());
    CHECK(state.evacuationOf(DataCentreId("away")).isEvacuated);
}

// Guards against repeated or late records that undo newer ones: keepers propose until the log holds what they acknowledged.
TEST(FleetState, RecordsOfAMinionEndInTheSameStateInAnyOrder)
{
    const MinionRecord first = minion("a", 1, 1, "10.0.0.1");
    MinionRecord leaving = minion("a", 1, 2, "10.0.0.1");
    leaving.report.state = MinionState::Leaving;
    MinionRecord left = leaving;
    left.report.hasLeft = true;
    const MinionGoneRecord gone { first.report.instance };
    const MinionRecord next = minion("a", 2, 1, "10.0.0.1");
    using Record = std::variant<MinionRecord, MinionGoneRecord>;
    std::vector<Record> records { first, leaving, left, gone, next, first, gone };
    std::vector<size_t> order { 0, 1, 2, 3, 4, 5, 6 };
    do {
        FleetState each;
        for (const size_t index : order)
            std::visit([&](const auto& record) { each.apply(record); }, records.at(index));
        LONGS_EQUAL(1, each.minions().size());
        CHECK(each.minions().begin()->second == next.report);
    } while (std::next_permutation(order.begin(), order.end()));
}
