#include "Control/FleetRegistry.h"

#include <algorithm>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

constexpr absl::Duration beat = absl::Milliseconds(500);

DaemonId entryId(int number)
{
    return DaemonId("10.0.1." + std::to_string(number));
}

} // namespace

// Scenario: hundreds of minions and entries report to a keeper, which tells each entry what it needs.
TEST_GROUP(FleetRegistry)
{
    const DaemonId self { "10.0.0.1" };
    absl::Time now = absl::FromUnixSeconds(1000);
    FleetRegistry registry { { self, Incarnation(3) } };
    std::map<DaemonId, DaemonHeartbeat> heartbeats;
    uint64_t minions = 0;

    void setup() override
    {
        addKeeper(self, "home");
        registry.setServices({ ServiceId("service") }, now);
    }

    void addKeeper(const DaemonId& id, const std::string& dataCentre)
    {
        DaemonHeartbeat heartbeat;
        heartbeat.run = { id, Incarnation(3) };
        heartbeat.dataCentre = DataCentreId(dataCentre);
        heartbeats[id] = heartbeat;
        registry.heartbeatReceived(heartbeat, now);
    }

    void addEntry(int number, const std::string& dataCentre = "home")
    {
        DaemonHeartbeat heartbeat;
        heartbeat.run = { entryId(number), Incarnation(3) };
        heartbeat.dataCentre = DataCentreId(dataCentre);
        heartbeat.isEntry = true;
        heartbeats[entryId(number)] = heartbeat;
        registry.heartbeatReceived(heartbeat, now);
    }

    static MinionReport minion(uint64_t number, const std::string& dataCentre = "home")
    {
        const std::string id = "minion-" + std::to_string(number);
        return { { MinionId(id), MinionStartTime(1) }, 1, { ServiceId("service"), DataCentreId(dataCentre) }, { id, 80 }, { 16000, 65536, 0 }, {}, MinionState::Serving };
    }

    void reportMinion(const std::string& dataCentre = "home")
    {
        registry.minionReported(minion(++minions, dataCentre), now);
    }

    /// @return a report under another id, for a service that no routing table names, with the address of minion 1 and a
    /// later start.
    static MinionReport foreign()
    {
        MinionReport report = minion(1);
        report.instance = { MinionId("foreign"), MinionStartTime(2) };
        report.pool.service = ServiceId("billing");
        return report;
    }

    void setLogged(const std::vector<uint64_t>& numbers)
    {
        std::map<MinionId, MinionReport> logged;
        for (const uint64_t number : numbers)
            logged[minion(number).instance.minion] = minion(number);
        registry.setLoggedMinions(logged);
    }

    /// All daemons send heartbeats that don't confirm anything new.
    void sendHeartbeats()
    {
        for (const auto& [id, heartbeat] : heartbeats)
            registry.heartbeatReceived(heartbeat, now);
    }

    /// All daemons receive what is due and confirm it.
    void settle()
    {
        for (int round = 0; round < 3; ++round) {
            now += beat;
            for (const auto& [to, update] : registry.takeUpdates(now))
                confirm(to, update);
            sendHeartbeats();
        }
    }

    void confirm(const DaemonId& to, const FleetUpdate& update)
    {
        heartbeats[to].ackedKeeper = update.keeper;
        heartbeats[to].ackedUpdate = update.number;
        if (update.table)
            heartbeats[to].routing = update.table->version;
    }

    std::map<DaemonId, FleetUpdate> take()
    {
        std::map<DaemonId, FleetUpdate> updates;
        for (auto& [to, update] : registry.takeUpdates(now))
            updates[to] = std::move(update);
        return updates;
    }

    void setRouting(uint64_t version)
    {
        RoutingTable table;
        table.version = RoutingVersion(version);
        table.routes.resize(3000);
        registry.setRouting(std::move(table), now);
    }
};

// Guards against keepers that run out of memory: while confirmations were under way, each report of a minion sent all
// that wasn't confirmed yet to every daemon again.
TEST(FleetRegistry, AChangeIsSentOnceWhileItsConfirmationIsUnderWay)
{
    addEntry(1);
    settle();
    size_t sent = 0;
    for (int report = 0; report < 300; ++report) {
        reportMinion();
        now += absl::Milliseconds(3);
        sendHeartbeats();
        sent += take()[entryId(1)].minions.size();
    }
    CHECK(sent >= 280);
    CHECK(sent <= 300);
}

TEST(FleetRegistry, ReportsThatArriveTogetherShareAnUpdate)
{
    addEntry(1);
    settle();
    size_t updates = 0;
    for (int report = 0; report < 100; ++report) {
        reportMinion();
        now += absl::Milliseconds(1);
        sendHeartbeats();
        updates += take().contains(entryId(1)) ? 1 : 0;
    }
    CHECK(updates <= 3);
}

TEST(FleetRegistry, WhatIsntConfirmedIsSentAgain)
{
    addEntry(1);
    settle();
    reportMinion();
    LONGS_EQUAL(1, take()[entryId(1)].minions.size());
    for (int round = 0; round < 2; ++round) {
        now += beat;
        sendHeartbeats();
        LONGS_EQUAL(0, take()[entryId(1)].minions.size());
    }
    now += beat;
    sendHeartbeats();
    LONGS_EQUAL(1, take()[entryId(1)].minions.size());
}

// Guards against the same crash loop: an entry behind a network partition was sent all changes all the time.
TEST(FleetRegistry, NothingIsSentToADaemonThatCannotBeReached)
{
    addEntry(1);
    settle();
    heartbeats.erase(entryId(1));
    now += absl::Seconds(1);
    sendHeartbeats();
    reportMinion();
    setRouting(7);
    CHECK_FALSE(take().contains(entryId(1)));
}

TEST(FleetRegistry, AnEntryThatReturnsIsSentWhatItLacks)
{
    addEntry(1);
    settle();
    const DaemonHeartbeat absent = heartbeats.extract(entryId(1)).mapped();
    now += absl::Seconds(2);
    sendHeartbeats();
    reportMinion();
    setRouting(7);
    take();
    now += absl::Seconds(2);
    heartbeats[entryId(1)] = absent;
    sendHeartbeats();
    const FleetUpdate update = take()[entryId(1)];
    LONGS_EQUAL(1, update.minions.size());
    CHECK(update.table.has_value());
}

// A change of one daemon is not a reason to send all daemons again, and with hundreds of them it would be the largest
// part of the traffic while they start.
TEST(FleetRegistry, AnEntryThatIsUpToDateIsToldOnlyOfChangedDaemons)
{
    for (int entry = 1; entry <= 100; ++entry)
        addEntry(entry);
    settle();
    addEntry(101);
    const auto updates = take();
    const FleetUpdate& known = updates.at(entryId(1));
    CHECK_FALSE(known.daemons.has_value());
    LONGS_EQUAL(1, known.changedDaemons.size());
    LONGS_EQUAL(102, updates.at(entryId(101)).daemons->size());
    heartbeats.erase(entryId(2));
    for (int round = 0; round < 12; ++round) {
        now += beat;
        sendHeartbeats();
    }
    const FleetUpdate later = take()[entryId(1)];
    CHECK(later.lostDaemons == std::vector<DaemonId> { entryId(2) });
}

TEST(FleetRegistry, AnEntryIsSentTheMinionsOfItsDataCentreOnly)
{
    addEntry(1);
    reportMinion("home");
    reportMinion("away");
    now += beat;
    sendHeartbeats();
    const FleetUpdate update = take()[entryId(1)];
    LONGS_EQUAL(1, update.minions.size());
    CHECK(update.minions.front().pool.dataCentre == DataCentreId("home"));
}

TEST(FleetRegistry, AnOwnerOfACellOfAnotherDataCentreIsSentItsMinions)
{
    addEntry(1);
    reportMinion("away");
    settle();
    const CellId cell { ServiceId("service"), DataCentreId("away"), {} };
    registry.setGrants({ { cell, { cell, { entryId(1), Incarnation(3) }, OwnerEpoch(12) } } });
    const FleetUpdate update = take()[entryId(1)];
    LONGS_EQUAL(1, update.grants.size());
    LONGS_EQUAL(1, update.minions.size());
    CHECK(update.newestGrant == OwnerEpoch(12));
}

// A configuration of many routes crosses each link once: every keeper sent it to every entry, again with each change of
// the fleet until the entry had confirmed it, and callers' requests waited behind it.
TEST(FleetRegistry, TheKeeperOfAnEntrysDataCentreSendsItTheRoutingTable)
{
    addKeeper(DaemonId("10.0.0.2"), "away");
    addEntry(1, "home");
    addEntry(2, "away");
    settle();
    setRouting(7);
    auto updates = take();
    CHECK(updates[entryId(1)].table.has_value());
    CHECK_FALSE(updates[entryId(2)].table.has_value());
    for (int report = 0; report < 10; ++report) {
        reportMinion();
        now += absl::Milliseconds(60);
        CHECK_FALSE(take()[entryId(1)].table.has_value());
    }
}

TEST(FleetRegistry, OtherKeepersSendTheRoutingTableIfTheEntryStillLacksIt)
{
    addKeeper(DaemonId("10.0.0.2"), "away");
    addEntry(2, "away");
    settle();
    setRouting(7);
    take();
    for (int round = 0; round < 2; ++round) {
        now += beat;
        sendHeartbeats();
    }
    CHECK(take()[entryId(2)].table.has_value());
}

TEST(FleetRegistry, ALeaderSendsTheRoutingTableWhereNoKeeperIsNear)
{
    addEntry(2, "away");
    settle();
    setRouting(7);
    CHECK_FALSE(take()[entryId(2)].table.has_value());
    registry.setLeading(true);
    CHECK(take()[entryId(2)].table.has_value());
}

TEST(FleetRegistry, RoutingTablesThatAreUnderWayFitIntoABoundedSize)
{
    for (int entry = 1; entry <= 150; ++entry)
        addEntry(entry);
    settle();
    setRouting(7);
    auto updates = take();
    const auto hasRouting = [](const auto& entry) { return entry.second.table.has_value(); };
    CHECK(std::count_if(updates.begin(), updates.end(), hasRouting) <= 88);
    size_t confirmed = 0;
    for (int round = 0; round < 4; ++round) {
        for (const auto& [to, update] : updates) {
            confirmed += update.table ? 1 : 0;
            confirm(to, update);
        }
        now += beat;
        sendHeartbeats();
        updates = take();
    }
    LONGS_EQUAL(150, confirmed);
}

// Guards against a server that has left and is in use again after a restart: a keeper that the minion didn't tell kept it
// for ever, and sent it to each entry that started.
TEST(FleetRegistry, AMinionThatToldAnotherKeeperThatItLeavesIsRemoved)
{
    setLogged({ 1, 2 });
    reportMinion();
    setLogged({ 2 });
    LONGS_EQUAL(1, registry.minionCount());
    addEntry(1);
    const FleetUpdate update = take()[entryId(1)];
    LONGS_EQUAL(1, update.minions.size());
    CHECK(update.minions.front().instance == minion(2).instance);
    CHECK(update.gone == std::vector<MinionInstance> { minion(1).instance });
}

TEST(FleetRegistry, ALateReportDoesntAddAMinionThatLeft)
{
    reportMinion();
    MinionReport leaving = minion(1);
    leaving.sequence = 2;
    leaving.state = MinionState::Leaving;
    CHECK(registry.minionReported(leaving, now) == ReportOutcome::Changed);
    MinionReport left = leaving;
    left.hasLeft = true;
    CHECK(registry.minionLeft(leaving.instance.minion, now) == left);
    CHECK(registry.minionReported(minion(1), now) == ReportOutcome::Unchanged);
    ++leaving.sequence;
    CHECK(registry.minionReported(leaving, now) == ReportOutcome::Unchanged);
    // Its removal comes by the log, once its process has ended.
    registry.setLoggedMinions({ { left.instance.minion, left } });
    registry.setLoggedMinions({}, { left.instance });
    CHECK(registry.minionReported(leaving, now) == ReportOutcome::Unchanged);
    LONGS_EQUAL(0, registry.minionCount());
    MinionReport restarted = minion(1);
    restarted.instance.startTime = MinionStartTime(2);
    CHECK(registry.minionReported(restarted, now) == ReportOutcome::Changed);
}

// Guards against tasks that run twice: the message of a minion's earlier instance that it leaves was held up, and removed the
// next instance while that worked.
TEST(FleetRegistry, ALateLeaveOfAnEarlierInstanceChangesNothing)
{
    reportMinion();
    MinionReport leaving = minion(1);
    leaving.sequence = 2;
    leaving.state = MinionState::Leaving;
    registry.minionReported(leaving, now);
    MinionReport restarted = minion(1);
    restarted.instance.startTime = MinionStartTime(2);
    registry.minionReported(restarted, now);
    CHECK_FALSE(registry.minionLeft(restarted.instance.minion, now).has_value());
    LONGS_EQUAL(1, registry.minionCount());
}

TEST(FleetRegistry, AMinionThatIsntInTheLogYetIsKept)
{
    setLogged({ 5 });
    reportMinion();
    setLogged({ 5, 6 });
    LONGS_EQUAL(3, registry.minionCount());
}

// Guards against a keeper that takes an order back because it applies an earlier state late.
TEST(FleetRegistry, AnOrderToEvacuateIsSentAtOnceAndNoOlderOneReplacesIt)
{
    const DataCentreId away("away");
    const Evacuation newer { away, EvacuationRevision(7), true };
    addEntry(1);
    settle();
    registry.setEvacuations({ { away, newer } });
    CHECK(take()[entryId(1)].evacuations == std::vector<Evacuation> { newer });
    registry.setEvacuations({ { away, { away, EvacuationRevision(5), false } } });
    CHECK_FALSE(take().contains(entryId(1)));
    addEntry(2);
    CHECK(take()[entryId(2)].evacuations == std::vector<Evacuation> { newer });
}

// Guards against an order that isn't in force at an entry because one message to it was lost.
TEST(FleetRegistry, AnOrderToEvacuateThatIsntConfirmedIsSentAgainAndGrantsBringIt)
{
    const DataCentreId away("away");
    addEntry(1);
    settle();
    registry.setEvacuations({ { away, { away, EvacuationRevision(7), true } } });
    LONGS_EQUAL(1, take()[entryId(1)].evacuations.size());
    const CellId cell { ServiceId("service"), away };
    registry.setGrants({ { cell, { cell, { entryId(1), Incarnation(3) }, OwnerEpoch(9) } } });
    const FleetUpdate withGrant = take()[entryId(1)];
    LONGS_EQUAL(1, withGrant.grants.size());
    LONGS_EQUAL(1, withGrant.evacuations.size());
    for (int round = 0; round < 3; ++round) {
        now += beat;
        sendHeartbeats();
    }
    LONGS_EQUAL(1, take()[entryId(1)].evacuations.size());
}

// Guards against tasks that run twice: a report of another writer, for a service that no configuration names, removed the
// minion at its address while that ran tasks (review/9).
TEST(FleetRegistry, AReportOfAnUnknownServiceChangesNothing)
{
    reportMinion();
    addEntry(1);
    settle();
    CHECK(registry.minionReported(foreign(), now) == ReportOutcome::Held);
    CHECK(registry.minionReported(foreign(), now) == ReportOutcome::StillHeld);
    now += beat;
    sendHeartbeats();
    const FleetUpdate update = take()[entryId(1)];
    CHECK(update.minions.empty());
    CHECK(update.gone.empty());
    LONGS_EQUAL(1, registry.minionCount());
    LONGS_EQUAL(1, registry.heldReportCount());
    LONGS_EQUAL(1, registry.pools().size());
}

// The same under the id of the minion: as a later instance, and as a later report of the same one, which says that it leaves.
TEST(FleetRegistry, AReportOfAnUnknownServiceDoesntReplaceTheMinionWithItsId)
{
    reportMinion();
    MinionReport later = foreign();
    later.instance.minion = minion(1).instance.minion;
    MinionReport same = later;
    same.instance = minion(1).instance;
    same.sequence = 9;
    same.state = MinionState::Leaving;
    CHECK(registry.minionReported(later, now) == ReportOutcome::Held);
    CHECK(registry.minionReported(same, now) == ReportOutcome::Contradictory);
    CHECK_FALSE(registry.minionLeft(same.instance.minion, now).has_value());
    MinionReport next = minion(1);
    next.sequence = 2;
    next.state = MinionState::Leaving;
    CHECK(registry.minionReported(next, now) == ReportOutcome::Changed);
}

TEST(FleetRegistry, AMinionOfTheLogWhoseServiceIsUnknownIsIgnored)
{
    reportMinion();
    registry.setLoggedMinions({ { minion(1).instance.minion, minion(1) }, { foreign().instance.minion, foreign() } });
    addEntry(1);
    const FleetUpdate update = take()[entryId(1)];
    LONGS_EQUAL(1, update.minions.size());
    CHECK(update.minions.front() == minion(1));
    registry.setServices({ ServiceId("service"), ServiceId("billing") }, now);
    registry.setLoggedMinions({ { minion(1).instance.minion, minion(1) }, { foreign().instance.minion, foreign() } });
    LONGS_EQUAL(2, registry.minionCount());
}

// Minions report before operators publish the first configuration, and before one that adds their service.
TEST(FleetRegistry, MinionsThatReportedBeforeTheirServiceWasNamedAreTaken)
{
    MinionReport added = minion(7);
    added.pool.service = ServiceId("added");
    CHECK(registry.minionReported(added, now) == ReportOutcome::Held);
    now += beat;
    ++added.sequence;
    CHECK(registry.minionReported(added, now) == ReportOutcome::StillHeld);
    CHECK(registry.setServices({ ServiceId("service") }, now).empty());
    CHECK(registry.setServices({ ServiceId("service"), ServiceId("added") }, now) == std::vector<MinionReport> { added });
    LONGS_EQUAL(0, registry.heldReportCount());
    LONGS_EQUAL(1, registry.pools().at(added.pool));
    addEntry(1);
    CHECK(take()[entryId(1)].minions == std::vector<MinionReport> { added });
}

TEST(FleetRegistry, AMinionThatWasOnlyHeardLongBeforeItsServiceWasNamedIsNotTaken)
{
    registry.minionReported(foreign(), now);
    now += absl::Seconds(30);
    CHECK(registry.setServices({ ServiceId("billing") }, now).empty());
    LONGS_EQUAL(0, registry.minionCount());
}

TEST(FleetRegistry, AMinionIsTakenFurtherWhoseServiceIsNoLongerNamed)
{
    reportMinion();
    registry.setServices({ ServiceId("other") }, now);
    MinionReport leaving = minion(1);
    leaving.sequence = 2;
    leaving.state = MinionState::Leaving;
    CHECK(registry.minionReported(leaving, now) == ReportOutcome::Changed);
    MinionReport restarted = minion(1);
    restarted.instance.startTime = MinionStartTime(2);
    CHECK(registry.minionReported(restarted, now) == ReportOutcome::Held);
}

// Guards against a keeper that runs out of memory by reports under ever new ids.
TEST(FleetRegistry, HeldReportsAreBounded)
{
    MinionReport report = foreign();
    for (int number = 0; number < 20000; ++number) {
        report.instance.minion = MinionId("foreign-" + std::to_string(number));
        registry.minionReported(report, now);
    }
    LONGS_EQUAL(5000, registry.heldReportCount());
    now += absl::Seconds(30);
    CHECK(registry.minionReported(report, now) == ReportOutcome::Held);
    LONGS_EQUAL(1, registry.heldReportCount());
}

// A VM may run minions of several services one after the other. The log replaces minions of the report's service only.
TEST(FleetRegistry, AMinionOfANamedServiceReplacesEarlierOnesOfOthersAtItsAddress)
{
    reportMinion();
    reportMinion();
    registry.setServices({ ServiceId("service"), ServiceId("billing") }, now);
    CHECK(registry.minionReported(foreign(), now) == ReportOutcome::Changed);
    const std::vector<MinionReport> replaced = registry.takeReplacedInOtherServices(foreign(), now);
    LONGS_EQUAL(1, replaced.size());
    CHECK(replaced.front().instance == minion(1).instance);
    CHECK(replaced.front().hasLeft);
    CHECK(registry.takeReplacedInOtherServices(foreign(), now).empty());
    CHECK(registry.takeReplacedInOtherServices(minion(1), now).empty());
}

// Guards against a minion at work that is moved to another address or service by a report that can't be its own: an instance
// keeps both.
TEST(FleetRegistry, AReportThatContradictsAKnownInstanceChangesNothing)
{
    reportMinion();
    registry.setServices({ ServiceId("service"), ServiceId("billing") }, now);
    MinionReport elsewhere = minion(1);
    elsewhere.endpoint.port = 81;
    MinionReport otherService = minion(1);
    otherService.pool.service = ServiceId("billing");
    MinionReport otherCentre = minion(1, "away");
    for (MinionReport odd : { elsewhere, otherService, otherCentre }) {
        odd.sequence = 9;
        CHECK(registry.minionReported(odd, now) == ReportOutcome::Contradictory);
    }
    MinionReport next = minion(1);
    next.sequence = 2;
    next.state = MinionState::Leaving;
    CHECK(registry.minionReported(next, now) == ReportOutcome::Changed);
}

// Guards against a minion that has ended and is counted for ever: its report was held up until a later minion had reported
// from its address.
TEST(FleetRegistry, ALateReportFromAnAddressThatALaterMinionUsesIsIgnored)
{
    MinionReport later = minion(1);
    later.instance = { MinionId("later"), MinionStartTime(2) };
    registry.minionReported(later, now);
    CHECK(registry.minionReported(minion(1), now) == ReportOutcome::Unchanged);
    LONGS_EQUAL(1, registry.minionCount());
}

TEST(FleetRegistry, AnUpdateThatIsKnownToBeLostIsSentAgainAtOnce)
{
    addEntry(1);
    settle();
    reportMinion();
    LONGS_EQUAL(1, take()[entryId(1)].minions.size());
    now += absl::Milliseconds(60);
    heartbeats[entryId(1)].lacksUpdates = true;
    sendHeartbeats();
    LONGS_EQUAL(1, take()[entryId(1)].minions.size());
}

// Guards against minions that only one keeper knows: their reports were proposed once, while no leader was known (review/11).
TEST(FleetRegistry, AReportIsProposedUntilTheLogHoldsIt)
{
    reportMinion();
    LONGS_EQUAL(0, registry.takeUnlogged(now).reports.size());
    for (int round = 0; round < 3; ++round) {
        now += absl::Seconds(1);
        const UnloggedChanges changes = registry.takeUnlogged(now);
        LONGS_EQUAL(1, changes.reports.size());
        CHECK(changes.reports.front() == minion(1));
    }
    setLogged({ 1 });
    now += absl::Seconds(1);
    LONGS_EQUAL(0, registry.takeUnlogged(now).reports.size());
    LONGS_EQUAL(0, registry.unloggedCount());
}

TEST(FleetRegistry, WhatTheLogLacksIsProposedAtOnceWhenTheLeaderChanges)
{
    reportMinion();
    now += absl::Milliseconds(10);
    registry.leaderChanged(now);
    LONGS_EQUAL(1, registry.takeUnlogged(now).reports.size());
    LONGS_EQUAL(0, registry.takeUnlogged(now).reports.size());
}

TEST(FleetRegistry, AChangeOfALoggedMinionIsProposedUntilTheLogHoldsIt)
{
    reportMinion();
    setLogged({ 1 });
    MinionReport leaving = minion(1);
    leaving.sequence = 2;
    leaving.state = MinionState::Leaving;
    registry.minionReported(leaving, now);
    now += absl::Seconds(1);
    CHECK(registry.takeUnlogged(now).reports == std::vector<MinionReport> { leaving });
    // A later report that says the same isn't a change.
    registry.setLoggedMinions({ { leaving.instance.minion, leaving } });
    ++leaving.sequence;
    registry.minionReported(leaving, now);
    now += absl::Seconds(1);
    LONGS_EQUAL(0, registry.takeUnlogged(now).reports.size());
}

// Guards against new owners that don't know a minion which has just left and is still up (review/12): it is kept for a while,
// and the leader removes it then.
TEST(FleetRegistry, AMinionThatLeftIsKeptForAWhileAndThenRemovedFromTheLog)
{
    addEntry(1);
    reportMinion();
    MinionReport left = minion(1);
    left.sequence = 2;
    left.state = MinionState::Leaving;
    registry.minionReported(left, now);
    registry.minionLeft(left.instance.minion, now);
    left.hasLeft = true;
    CHECK(take()[entryId(1)].minions == std::vector<MinionReport> { left });
    CHECK_FALSE(registry.minionLeft(left.instance.minion, now).has_value());
    now += absl::Seconds(1);
    CHECK(registry.takeUnlogged(now).reports == std::vector<MinionReport> { left });
    registry.setLoggedMinions({ { left.instance.minion, left } });
    now += departureRetention;
    // Only the leader removes it.
    LONGS_EQUAL(0, registry.takeUnlogged(now).ended.size());
    registry.setLeading(true);
    for (int round = 0; round < 2; ++round) {
        now += absl::Seconds(1);
        CHECK(registry.takeUnlogged(now).ended == std::vector<MinionInstance> { left.instance });
    }
    registry.setLoggedMinions({}, { left.instance });
    now += absl::Seconds(1);
    LONGS_EQUAL(0, registry.takeUnlogged(now).ended.size());
    LONGS_EQUAL(0, registry.minionCount());
}

// Guards against a leader that learned of a departure from the log only, and would keep the minion for ever.
TEST(FleetRegistry, ADepartureThatAnotherKeeperToldIsOverAfterTheSameTime)
{
    MinionReport left = minion(1);
    left.state = MinionState::Leaving;
    left.hasLeft = true;
    registry.setLeading(true);
    registry.setLoggedMinions({ { left.instance.minion, left } });
    LONGS_EQUAL(0, registry.takeUnlogged(now).ended.size());
    now += departureRetention - absl::Milliseconds(1);
    LONGS_EQUAL(0, registry.takeUnlogged(now).ended.size());
    now += absl::Seconds(1);
    LONGS_EQUAL(1, registry.takeUnlogged(now).ended.size());
}

// Guards against proposals without end, and against old ones that undo what is newer.
TEST(FleetRegistry, WhatTheLogHasSupersededIsntProposed)
{
    reportMinion();
    MinionReport restarted = minion(1);
    restarted.instance.startTime = MinionStartTime(2);
    registry.setLoggedMinions({ { restarted.instance.minion, restarted } });
    // This one has left, and a later minion uses the address of the next one.
    reportMinion();
    reportMinion();
    MinionReport later = minion(3);
    later.instance = { MinionId("later"), MinionStartTime(2) };
    registry.setLoggedMinions({ { restarted.instance.minion, restarted }, { later.instance.minion, later } }, { minion(2).instance });
    now += absl::Seconds(1);
    LONGS_EQUAL(0, registry.takeUnlogged(now).reports.size());
    LONGS_EQUAL(2, registry.minionCount());
    CHECK(registry.minionReported(minion(2), now) == ReportOutcome::Unchanged);
}

TEST(FleetRegistry, ManyReportsThatTheLogLacksAreProposedInParts)
{
    for (int number = 0; number < 300; ++number)
        reportMinion();
    now += absl::Seconds(1);
    std::set<MinionId> proposed;
    int rounds = 0;
    for (; proposed.size() < 300 && rounds < 20; ++rounds) {
        const UnloggedChanges changes = registry.takeUnlogged(now);
        CHECK(changes.reports.size() <= 64);
        for (const MinionReport& report : changes.reports)
            proposed.insert(report.instance.minion);
        std::map<MinionId, MinionReport> logged;
        for (const MinionId& id : proposed)
            logged[id] = minion(std::stoull(id.value().substr(id.value().find('-') + 1)));
        registry.setLoggedMinions(logged);
        now += absl::Milliseconds(500);
    }
    LONGS_EQUAL(5, rounds);
}

// Guards against owners that believe that they know all minions beside a keeper that has forgotten some (review/11).
TEST(FleetRegistry, ARestartedKeeperSaysThatItAwaitsReports)
{
    registry.awaitReports(now + absl::Seconds(3));
    addEntry(1);
    CHECK(take()[entryId(1)].awaitsReports);
    now += absl::Milliseconds(2990);
    sendHeartbeats();
    CHECK(take()[entryId(1)].awaitsReports);
    now += absl::Milliseconds(10);
    const std::map<DaemonId, FleetUpdate> updates = take();
    CHECK(updates.contains(entryId(1)));
    CHECK_FALSE(updates.at(entryId(1)).awaitsReports);
}
