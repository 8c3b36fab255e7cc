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

    /// Lets the entry's view say what it has, and gives it what the keeper then sends.
    void exchange(FleetView & receiver, uint64_t incarnation)
    {
        registry.heartbeatReceived(pulseOf(receiver, incarnation), now);
        for (const auto& [to, news] : registry.takeUpdates(now))
            receiver.receive(keeperId, news, now);
    }

    DaemonHeartbeat pulseOf(const FleetView& receiver, uint64_t incarnation)
    {
        DaemonHeartbeat pulse;
        pulse.run = { DaemonId("10.0.0.9"), Incarnation(incarnation) };
        pulse.dataCentre = DataCentreId("centre");
        pulse.isEntry = true;
        receiver.describe(keeperId, pulse);
        return pulse;
    }
};

TEST(FleetView, ANewEntryIsToldOfAllMinions)
{
    registry.minionReported(minion("a"));
    registry.minionReported(minion("b"));
    exchange(view, 1);
    LONGS_EQUAL(2, view.minionsOf(cell).size());
    CHECK(view.isComplete(now));
}

// Pattern: entries that are restarted one after the other. News for the run before reached the new run, which then
// told the keepers that it had all of it.
TEST(FleetView, NewsForAnEarlierRunDoesntHideWhatTheNewRunLacks)
{
    registry.minionReported(minion("a"));
    exchange(view, 1);
    exchange(view, 1);
    registry.minionReported(minion("b"));
    registry.heartbeatReceived(pulseOf(view, 1), now);
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

// Pattern: minions are replaced while their data centre is cut off, and then its cell gets another owner.
TEST(FleetView, AKeeperThatFellSilentMayKnowMoreMinions)
{
    registry.minionReported(minion("a"));
    exchange(view, 1);
    CHECK(view.isComplete(now));
    now += absl::Seconds(5);
    CHECK_FALSE(view.isComplete(now));
    registry.minionReported(minion("b"));
    exchange(view, 1);
    CHECK(view.isComplete(now));
    LONGS_EQUAL(2, view.minionsOf(cell).size());
}

TEST(FleetView, AnOlderReportFromAnotherKeeperChangesNothing)
{
    MinionReport leaving = minion("a", 5);
    leaving.state = MinionState::Leaving;
    FleetUpdate news;
    news.keeper = Incarnation(3);
    news.number = 1;
    news.minions = { leaving };
    view.receive(keeperId, news, now);
    FleetUpdate late;
    late.keeper = Incarnation(4);
    late.number = 1;
    late.minions = { minion("a", 4) };
    const FleetChange change = view.receive(DaemonId("10.0.0.2"), late, now);
    LONGS_EQUAL(0, change.minions.size());
    CHECK(view.minionsOf(cell).front().state == MinionState::Leaving);
}

TEST(FleetView, AMinionThatLeftIsNotBroughtBackByALateReport)
{
    FleetUpdate news;
    news.keeper = Incarnation(3);
    news.number = 1;
    news.gone = { minion("a").instance };
    view.receive(keeperId, news, now);
    FleetUpdate late;
    late.keeper = Incarnation(4);
    late.minions = { minion("a", 9) };
    view.receive(DaemonId("10.0.0.2"), late, now);
    LONGS_EQUAL(0, view.minionsOf(cell).size());
}

TEST(FleetView, TheRoutingVersionNeverFalls)
{
    FleetUpdate news;
    news.keeper = Incarnation(3);
    news.routing = RoutingDocument { RoutingVersion(7), "seven" };
    CHECK(view.receive(keeperId, news, now).routing.has_value());
    news.keeper = Incarnation(4);
    news.routing = RoutingDocument { RoutingVersion(6), "six" };
    CHECK_FALSE(view.receive(keeperId, news, now).routing.has_value());
    LONGS_EQUAL(7, view.routingVersion().value());
}
