#include "Control/EntryCluster.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

TEST_GROUP(Membership)
{
    EntryCluster cluster { { 2, 3, 7 } };

    void setup() override
    {
        cluster.run(absl::Seconds(5));
        for (size_t i = 0; i < cluster.size(); ++i)
            cluster.entry(i).events.clear();
    }

    MemberState seen(size_t by, size_t of)
    {
        return cluster.entry(by).membership->stateOf(cluster.entry(of).settings.daemon);
    }

    DaemonRun runAt(size_t index)
    {
        return { cluster.entry(index).settings.daemon, cluster.entry(index).incarnation };
    }

    bool hasEvent(size_t index, const MembershipEvent& event)
    {
        const auto& events = cluster.entry(index).events;
        return std::find(events.begin(), events.end(), event) != events.end();
    }

    size_t brokerOf(size_t index, const std::string& service)
    {
        const auto broker = cluster.entry(index).membership->brokerFor(ServiceId(service));
        size_t found = 0;
        while (cluster.entry(found).settings.daemon != broker->daemon)
            ++found;
        return found;
    }
};

TEST(Membership, AllDaemonsSeeEachOtherSoonAfterTheStart)
{
    for (size_t i = 0; i < cluster.size(); ++i) {
        CHECK(cluster.entry(i).membership->isFresh());
        for (size_t j = 0; j < cluster.size(); ++j)
            CHECK(seen(i, j) == MemberState::Alive);
    }
    CHECK_EQUAL(3, cluster.entry(0).membership->aliveEntries(DataCentreId("centre-1")).size());
}

TEST(Membership, ADeadEntryIsSuspectedThenPresumedDeadAndLaterInOtherDataCentres)
{
    cluster.kill(0);
    cluster.run(absl::Seconds(2));
    CHECK(seen(1, 0) == MemberState::Suspect);
    CHECK(cluster.entry(1).membership->runOf(DaemonId("entry-0")).has_value());
    cluster.run(absl::Seconds(2));
    CHECK(seen(1, 0) == MemberState::PresumedDead);
    CHECK(hasEvent(1, MemberRemoved { runAt(0), true }));
    CHECK(seen(4, 0) == MemberState::Alive);
    cluster.run(absl::Seconds(13));
    CHECK(seen(4, 0) == MemberState::PresumedDead);
    CHECK(hasEvent(4, MemberRemoved { runAt(0), false }));
}

TEST(Membership, ALeavingEntryIsRemovedAtOnceAndLateHeartbeatsDontReviveIt)
{
    cluster.leave(0);
    cluster.run(absl::Milliseconds(100));
    CHECK(seen(1, 0) == MemberState::Left);
    CHECK(seen(4, 0) == MemberState::Left);
    cluster.entry(1).membership->heartbeatReceived(DaemonId("entry-0"), { runAt(0).incarnation, 1000, 0, DaemonState::Active }, cluster.now());
    CHECK(seen(1, 0) == MemberState::Left);
}

TEST(Membership, ARestartEndsTheOldRunAndItsLateHeartbeatsChangeNothing)
{
    const DaemonRun before = runAt(0);
    cluster.restart(0);
    cluster.run(absl::Seconds(1));
    CHECK(hasEvent(1, MemberRemoved { before, true }));
    CHECK(hasEvent(1, MemberJoined { runAt(0), true }));
    cluster.entry(1).membership->heartbeatReceived(before.daemon, { before.incarnation, 1000, 0, DaemonState::Left }, cluster.now());
    CHECK(seen(1, 0) == MemberState::Alive);
    CHECK(cluster.entry(1).membership->runOf(before.daemon) == runAt(0));
}

TEST(Membership, ARepeatedHeartbeatDoesNotKeepADaemonAlive)
{
    const Heartbeat last { runAt(0).incarnation, 100000, 0, DaemonState::Active };
    cluster.kill(0);
    for (int i = 0; i < 8; ++i) {
        cluster.entry(1).membership->heartbeatReceived(DaemonId("entry-0"), last, cluster.now());
        cluster.run(absl::Milliseconds(500));
    }
    CHECK(seen(1, 0) == MemberState::PresumedDead);
}

TEST(Membership, AFrozenEntryIsStaleUntilItsPeersHaveAnswered)
{
    cluster.freeze(0);
    cluster.run(absl::Seconds(10));
    CHECK(seen(1, 0) == MemberState::PresumedDead);
    // The messages held for it were sent before it resumed, so they can't make it fresh.
    cluster.resume(0);
    CHECK(!cluster.entry(0).membership->isFresh());
    CHECK(hasEvent(0, SelfStale {}));
    cluster.run(absl::Seconds(1));
    CHECK(cluster.entry(0).membership->isFresh());
    CHECK(seen(1, 0) == MemberState::Alive);
}

TEST(Membership, AFrozenEntryDoesNotPresumeItsPeersDead)
{
    cluster.freeze(0);
    cluster.run(absl::Seconds(10));
    // Its peers presumed it dead and closed their connections, so no messages are held for it.
    cluster.entry(0).held.clear();
    cluster.resume(0);
    cluster.run(absl::Seconds(1));
    CHECK(seen(0, 1) == MemberState::Alive);
    CHECK(!hasEvent(0, MemberRemoved { runAt(1), true }));
    CHECK(cluster.entry(0).membership->isFresh());
}

TEST(Membership, AFrozenEntryWithoutPeersIsFreshOnceTheyArePresumedDead)
{
    cluster.freeze(0);
    cluster.run(absl::Seconds(10));
    cluster.kill(1);
    cluster.kill(2);
    cluster.resume(0);
    cluster.run(absl::Seconds(2));
    CHECK(!cluster.entry(0).membership->isFresh());
    cluster.run(absl::Seconds(2));
    CHECK(cluster.entry(0).membership->isFresh());
}

TEST(Membership, APartitionSplitsTheEntriesAndHeals)
{
    cluster.isolate(0);
    cluster.run(absl::Seconds(5));
    CHECK(seen(0, 1) == MemberState::PresumedDead);
    CHECK(seen(1, 0) == MemberState::PresumedDead);
    CHECK(cluster.entry(0).membership->brokerFor(ServiceId("s"))->daemon == runAt(0).daemon);
    cluster.heal();
    cluster.run(absl::Seconds(1));
    CHECK(seen(0, 1) == MemberState::Alive);
    CHECK(hasEvent(1, MemberJoined { runAt(0), true }));
}

TEST(Membership, OnlyTheServicesOfADrainingEntryMove)
{
    std::map<std::string, size_t> before;
    for (int i = 0; i < 60; ++i)
        before[absl::StrCat("service-", i)] = brokerOf(1, absl::StrCat("service-", i));
    const uint64_t version = cluster.entry(1).membership->brokersVersion();
    cluster.drain(0);
    cluster.run(absl::Milliseconds(200));
    CHECK(cluster.entry(1).membership->brokersVersion() != version);
    size_t moved = 0;
    for (const auto& [service, broker] : before) {
        const size_t now = brokerOf(1, service);
        CHECK(now != 0);
        CHECK(broker == 0 || now == broker);
        CHECK_EQUAL(now, brokerOf(0, service));
        moved += broker == 0 ? 1 : 0;
    }
    // Each of the three entries is the broker of about a third of the services.
    CHECK(moved > 10 && moved < 30);
    CHECK(seen(1, 0) == MemberState::Alive);
}
