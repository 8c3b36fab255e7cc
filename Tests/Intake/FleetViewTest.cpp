#include "Intake/FleetView.h"
#include "Control/FleetRegistry.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

const DaemonId keeperId("10.0.0.1");
const CellId cell { ServiceId("service"), DataCentreId("centre") };

MinionReport minion(const std::string& id, uint64_t sequence = 1, uint64_t startTime = 1)
{
    return { { MinionId(id), MinionStartTime(startTime) }, sequence, cell.pool(), { id, 80 }, { 16000, 65536, 0 }, {}, MinionState::Serving };
}

} // namespace

TEST_GROUP(FleetView)
{
    absl::Time now = absl::FromUnixSeconds(1000);
    FleetRegistry registry { { keeperId, Incarnation(3) } };
    FleetView view { { keeperId } };

    void setup() override
    {
        registry.setServices({ cell.service }, now);
    }

    /// Sends the entry's heartbeat to the keeper, and the keeper's update to the entry.
    void exchange(FleetView & receiver, uint64_t incarnation)
    {
        registry.heartbeatReceived(heartbeatOf(receiver, incarnation), now);
        for (const auto& [to, update] : registry.takeUpdates(now))
            receiver.receive(keeperId, update, now);
    }

    DaemonHeartbeat heartbeatOf(const FleetView& receiver, uint64_t incarnation)
    {
        DaemonHeartbeat heartbeat;
        heartbeat.run = { DaemonId("10.0.0.9"), Incarnation(incarnation) };
        heartbeat.dataCentre = DataCentreId("centre");
        heartbeat.isEntry = true;
        receiver.acknowledgeUpdates(keeperId, heartbeat);
        return heartbeat;
    }
};

TEST(FleetView, ANewEntryGetsAllMinions)
{
    registry.minionReported(minion("a"), now);
    registry.minionReported(minion("b"), now);
    exchange(view, 1);
    LONGS_EQUAL(2, view.minionsOf(cell).size());
    CHECK(view.isComplete(now));
}

// Guards against a fault in a rolling restart: an update meant for the earlier incarnation of an entry reached the new
// one, which then acknowledged it to the keepers as if it had all earlier updates too.
TEST(FleetView, AnUpdateForAnEarlierIncarnationDoesntHideWhatTheNewOneLacks)
{
    registry.minionReported(minion("a"), now);
    exchange(view, 1);
    exchange(view, 1);
    registry.minionReported(minion("b"), now);
    now += absl::Milliseconds(100);
    registry.heartbeatReceived(heartbeatOf(view, 1), now);
    const auto forEarlierRun = registry.takeUpdates(now);
    LONGS_EQUAL(1, forEarlierRun.size());

    FleetView restarted { { keeperId } };
    restarted.receive(keeperId, forEarlierRun.front().second, now);
    CHECK_FALSE(restarted.isComplete(now));
    now += absl::Seconds(2);
    exchange(restarted, 2);
    LONGS_EQUAL(2, restarted.minionsOf(cell).size());
    CHECK(restarted.isComplete(now));
}

// Minions are replaced while a network partition cuts off their data centre, and then its cell gets another owner.
TEST(FleetView, AViewIsIncompleteWhileAKeeperIsSilent)
{
    registry.minionReported(minion("a"), now);
    exchange(view, 1);
    CHECK(view.isComplete(now));
    now += absl::Seconds(5);
    CHECK_FALSE(view.isComplete(now));
    registry.minionReported(minion("b"), now);
    exchange(view, 1);
    CHECK(view.isComplete(now));
    LONGS_EQUAL(2, view.minionsOf(cell).size());
}

// Guards against tasks that run twice: a keeper had restarted and had forgotten minions that only it had known (review/11).
TEST(FleetView, AViewIsIncompleteWhileAKeeperAwaitsReports)
{
    FleetUpdate update;
    update.keeper = Incarnation(3);
    update.number = 1;
    update.awaitsReports = true;
    view.receive(keeperId, update, now);
    CHECK_FALSE(view.isComplete(now));
    update.since = 1;
    update.number = 2;
    update.awaitsReports = false;
    view.receive(keeperId, update, now);
    CHECK(view.isComplete(now));
}

TEST(FleetView, AKeeperThatHasEndedWhileItAwaitedReportsIsLeftOutInTheEnd)
{
    FleetUpdate update;
    update.keeper = Incarnation(3);
    update.number = 1;
    update.awaitsReports = true;
    view.receive(keeperId, update, now);
    now += absl::Seconds(19);
    CHECK_FALSE(view.isComplete(now));
    now += absl::Seconds(2);
    CHECK(view.isComplete(now));
}

TEST(FleetView, AnOlderReportFromAnotherKeeperChangesNothing)
{
    MinionReport leaving = minion("a", 5);
    leaving.state = MinionState::Leaving;
    FleetUpdate update;
    update.keeper = Incarnation(3);
    update.number = 1;
    update.minions = { leaving };
    view.receive(keeperId, update, now);
    FleetUpdate late;
    late.keeper = Incarnation(4);
    late.number = 1;
    late.minions = { minion("a", 4) };
    const FleetChange change = view.receive(DaemonId("10.0.0.2"), late, now);
    LONGS_EQUAL(0, change.minions.size());
    CHECK(view.minionsOf(cell).front().state == MinionState::Leaving);
}

TEST(FleetView, ALateReportDoesntAddAMinionThatLeft)
{
    FleetUpdate update;
    update.keeper = Incarnation(3);
    update.number = 1;
    update.gone = { minion("a").instance };
    view.receive(keeperId, update, now);
    FleetUpdate late;
    late.keeper = Incarnation(4);
    late.minions = { minion("a", 9) };
    view.receive(DaemonId("10.0.0.2"), late, now);
    LONGS_EQUAL(0, view.minionsOf(cell).size());
}

TEST(FleetView, ALaterReportDoesntUndoThatAMinionHasLeft)
{
    MinionReport left = minion("a", 5);
    left.state = MinionState::Leaving;
    left.hasLeft = true;
    FleetUpdate update;
    update.keeper = Incarnation(3);
    update.number = 1;
    update.minions = { left };
    LONGS_EQUAL(1, view.receive(keeperId, update, now).minions.size());
    update.minions = { minion("a", 6) };
    LONGS_EQUAL(0, view.receive(DaemonId("10.0.0.2"), update, now).minions.size());
    CHECK(view.minionsOf(cell).front().hasLeft);
}

// Guards against tasks of a minion that has ended and wait for its lease: one update says that it is gone, and which minion took
// its place.
TEST(FleetView, AReplacedMinionIsRemovedAsSuch)
{
    FleetUpdate update;
    update.keeper = Incarnation(3);
    update.number = 1;
    update.minions = { minion("a") };
    view.receive(keeperId, update, now);
    MinionReport next = minion("b", 1, 2);
    next.endpoint = minion("a").endpoint;
    update.minions = { next };
    update.gone = { minion("a").instance };
    const FleetChange change = view.receive(keeperId, update, now);
    LONGS_EQUAL(1, change.removed.size());
    CHECK(change.removed.front().replacedBy == next.instance.minion);
}

TEST(FleetView, TheRoutingVersionNeverDecreases)
{
    FleetUpdate update;
    update.keeper = Incarnation(3);
    update.routing = RoutingDocument { RoutingVersion(7), "seven" };
    CHECK(view.receive(keeperId, update, now).routing.has_value());
    update.keeper = Incarnation(4);
    update.routing = RoutingDocument { RoutingVersion(6), "six" };
    CHECK_FALSE(view.receive(keeperId, update, now).routing.has_value());
    LONGS_EQUAL(7, view.routingVersion().value());
}

TEST(FleetView, ADecodedRoutingTableReplacesOnlyAnOlderOne)
{
    FleetUpdate update;
    update.keeper = Incarnation(3);
    update.table = RoutingTable { RoutingVersion(7), {}, {} };
    CHECK(view.receive(keeperId, update, now).table.has_value());
    update.keeper = Incarnation(4);
    CHECK_FALSE(view.receive(keeperId, update, now).table.has_value());
    update.table->version = RoutingVersion(6);
    CHECK_FALSE(view.receive(keeperId, update, now).table.has_value());
    LONGS_EQUAL(7, view.routingVersion().value());
}

// Guards against a data centre that is in use again because a keeper that is behind sends the state before the evacuation.
TEST(FleetView, AnOlderRevisionOfAnEvacuationNeverReplacesANewerOne)
{
    const DataCentreId centre("centre");
    FleetUpdate update;
    update.keeper = Incarnation(3);
    update.evacuations = { { centre, EvacuationRevision(7), true } };
    LONGS_EQUAL(1, view.receive(keeperId, update, now).evacuations.size());
    update.evacuations = { { centre, EvacuationRevision(5), false } };
    LONGS_EQUAL(0, view.receive(DaemonId("10.0.0.2"), update, now).evacuations.size());
    update.evacuations = { { centre, EvacuationRevision(7), true } };
    LONGS_EQUAL(0, view.receive(DaemonId("10.0.0.2"), update, now).evacuations.size());
    CHECK(view.evacuationOf(centre).isEvacuated);
    update.evacuations = { { centre, EvacuationRevision(9), false } };
    LONGS_EQUAL(1, view.receive(DaemonId("10.0.0.2"), update, now).evacuations.size());
    CHECK_FALSE(view.evacuationOf(centre).isEvacuated);
    LONGS_EQUAL(0, view.evacuationOf(DataCentreId("other")).revision.value());
}

TEST(FleetView, ANewEntryGetsTheEvacuations)
{
    const DataCentreId centre("centre");
    registry.setEvacuations({ { centre, { centre, EvacuationRevision(7), true } } });
    exchange(view, 1);
    CHECK(view.evacuationOf(centre).isEvacuated);
    FleetView restarted { { keeperId } };
    exchange(restarted, 2);
    CHECK(restarted.evacuationOf(centre).isEvacuated);
}

// Guards against tasks that run twice: the entry took a minion at work for replaced, because of a report for another service
// with its address (review/9). Keepers of earlier versions pass such reports on.
TEST(FleetView, AReportForAnotherServiceRemovesNoMinionAtItsAddress)
{
    MinionReport other = minion("b", 1, 2);
    other.endpoint = minion("a").endpoint;
    other.pool.service = ServiceId("billing");
    FleetUpdate update;
    update.keeper = Incarnation(3);
    update.number = 1;
    update.minions = { minion("a"), other };
    CHECK(view.receive(keeperId, update, now).removed.empty());
    CHECK(view.minionsOf(cell) == std::vector<MinionReport> { minion("a") });
    update.minions = { minion("a", 2) };
    LONGS_EQUAL(1, view.receive(keeperId, update, now).minions.size());
}

TEST(FleetView, ALaterMinionOfTheSameServiceReplacesTheOneAtItsAddress)
{
    MinionReport next = minion("b", 1, 2);
    next.endpoint = minion("a").endpoint;
    FleetUpdate update;
    update.keeper = Incarnation(3);
    update.minions = { minion("a") };
    view.receive(keeperId, update, now);
    update.minions = { next };
    const FleetChange change = view.receive(keeperId, update, now);
    LONGS_EQUAL(1, change.removed.size());
    CHECK(change.removed.front().report == minion("a"));
    CHECK(change.removed.front().replacedBy == next.instance.minion);
    CHECK(view.minionsOf(cell) == std::vector<MinionReport> { next });
}

TEST(FleetView, AReportThatContradictsAKnownInstanceChangesNothing)
{
    MinionReport elsewhere = minion("a", 2);
    elsewhere.endpoint.port = 81;
    MinionReport otherService = minion("a", 3);
    otherService.pool.service = ServiceId("billing");
    FleetUpdate update;
    update.keeper = Incarnation(3);
    update.minions = { minion("a") };
    view.receive(keeperId, update, now);
    update.minions = { elsewhere, otherService };
    CHECK(view.receive(keeperId, update, now).minions.empty());
    CHECK(view.minionsOf(cell) == std::vector<MinionReport> { minion("a") });
}

// All instances of a minion that doesn't report its start time count as one, so it may come back at another address.
TEST(FleetView, AMinionWithoutAStartTimeMayMove)
{
    MinionReport moved = minion("a", 2, 0);
    moved.endpoint.port = 81;
    FleetUpdate update;
    update.keeper = Incarnation(3);
    update.minions = { minion("a", 1, 0) };
    view.receive(keeperId, update, now);
    update.minions = { moved };
    LONGS_EQUAL(1, view.receive(keeperId, update, now).minions.size());
}

// Guards against an owner that keeps a minion which has restarted for another service.
TEST(FleetView, AMinionThatRestartsForAnotherServiceIsRemovedFromItsPool)
{
    MinionReport restarted = minion("a", 1, 2);
    restarted.pool.service = ServiceId("billing");
    FleetUpdate update;
    update.keeper = Incarnation(3);
    update.minions = { minion("a") };
    view.receive(keeperId, update, now);
    update.minions = { restarted };
    const FleetChange change = view.receive(keeperId, update, now);
    LONGS_EQUAL(1, change.minions.size());
    LONGS_EQUAL(1, change.removed.size());
    CHECK(change.removed.front().report == minion("a"));
}

// Guards against tasks that run twice: an update that told of a minion was lost in a short cut, and the entry took all its
// minions for known (review/7).
TEST(FleetView, AViewIsIncompleteUntilALostUpdateHasBeenReceived)
{
    registry.minionReported(minion("a"), now);
    exchange(view, 1);
    registry.heartbeatReceived(heartbeatOf(view, 1), now);
    registry.minionReported(minion("b"), now);
    now += absl::Milliseconds(60);
    LONGS_EQUAL(1, registry.takeUpdates(now).size());
    now += absl::Milliseconds(600);
    registry.heartbeatReceived(heartbeatOf(view, 1), now);
    registry.setGrants({ { cell, { cell, { DaemonId("10.0.0.9"), Incarnation(1) }, OwnerEpoch(12) } } });
    const auto granting = registry.takeUpdates(now);
    CHECK(view.receive(keeperId, granting.front().second, now).missed.has_value());
    CHECK_FALSE(view.isComplete(now, OwnerEpoch(12)));
    // What was lost is sent again at once.
    now += absl::Milliseconds(60);
    exchange(view, 1);
    LONGS_EQUAL(2, view.minionsOf(cell).size());
    CHECK(view.isComplete(now, OwnerEpoch(12)));
    CHECK_FALSE(heartbeatOf(view, 1).lacksUpdates);
}

// The same, if the grant is told first by another keeper than the one whose update was lost.
TEST(FleetView, AViewIsIncompleteUntilEveryKeeperHasToldTheGrant)
{
    const DaemonId otherId("10.0.0.2");
    FleetUpdate first;
    first.keeper = Incarnation(3);
    first.number = 5;
    view.receive(keeperId, first, now);
    view.receive(otherId, first, now);
    CHECK(view.isComplete(now, OwnerEpoch(0)));
    FleetUpdate granting = first;
    granting.since = 5;
    granting.number = 6;
    granting.newestGrant = OwnerEpoch(12);
    view.receive(keeperId, granting, now);
    CHECK_FALSE(view.isComplete(now, OwnerEpoch(12)));
    granting.since = 6;
    granting.number = 7;
    CHECK(view.receive(otherId, granting, now).missed.has_value());
    CHECK_FALSE(view.isComplete(now, OwnerEpoch(12)));
    granting.since = 5;
    view.receive(otherId, granting, now);
    CHECK(view.isComplete(now, OwnerEpoch(12)));
}
