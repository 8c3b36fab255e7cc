#include "Control/EntryCluster.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

TEST_GROUP(MinionRegistry)
{
    EntryCluster cluster { { 1, 3, 7 } };

    void setup() override
    {
        for (int i = 0; i < 20; ++i)
            cluster.addMinion();
        cluster.run(absl::Seconds(5));
        STRCMP_EQUAL("", cluster.disagreement().c_str());
    }

    bool knows(size_t entry, size_t minion)
    {
        return cluster.entry(entry).reported.contains(cluster.minion(minion).announcement.minion);
    }

    MinionState stateAt(size_t entry, size_t minion)
    {
        return cluster.entry(entry).reported.at(cluster.minion(minion).announcement.minion).state;
    }
};

TEST(MinionRegistry, AJoinReachesAllEntriesAtOnce)
{
    const size_t added = cluster.addMinion();
    cluster.minion(added).nextAnnouncement = cluster.now();
    cluster.run(absl::Milliseconds(100));
    for (size_t i = 0; i < 3; ++i)
        CHECK(knows(i, added));
}

TEST(MinionRegistry, ASilentMinionIsRemovedEverywhereAfterItsLease)
{
    cluster.stopMinion(4);
    cluster.run(absl::Milliseconds(1900));
    for (size_t i = 0; i < 3; ++i)
        CHECK(knows(i, 4));
    // The lease is 3 s; the last renewal reaches the peers at most one renewal interval and one step later.
    cluster.run(absl::Milliseconds(2200));
    for (size_t i = 0; i < 3; ++i)
        CHECK(!knows(i, 4));
}

TEST(MinionRegistry, LeavingSpreadsAtOnceAndIsFinalForTheRun)
{
    const MinionAnnouncement serving = cluster.minion(3).announcement;
    cluster.leaveMinion(3);
    cluster.run(absl::Milliseconds(100));
    for (size_t i = 0; i < 3; ++i)
        CHECK(stateAt(i, 3) == MinionState::Leaving);
    MinionAnnouncement later = serving;
    later.sequence += 100;
    cluster.announce(later, 0);
    cluster.run(absl::Seconds(1));
    for (size_t i = 0; i < 3; ++i)
        CHECK(stateAt(i, 3) == MinionState::Leaving);
    cluster.stopMinion(3);
    cluster.run(absl::Seconds(5));
    later.sequence += 100;
    cluster.announce(later, 1);
    cluster.run(absl::Seconds(1));
    STRCMP_EQUAL("", cluster.violation().c_str());
}

TEST(MinionRegistry, PeersCorrectARestartedEntryThatReceivesAnOutdatedAnnouncement)
{
    const MinionAnnouncement serving = cluster.minion(3).announcement;
    cluster.leaveMinion(3);
    cluster.run(absl::Milliseconds(100));
    cluster.stopMinion(3);
    cluster.restart(0);
    cluster.run(absl::Seconds(1));
    cluster.announce(serving, 0);
    cluster.run(absl::Milliseconds(100));
    CHECK(stateAt(0, 3) == MinionState::Leaving);
}

TEST(MinionRegistry, AnOlderLeavingAnnouncementStillCounts)
{
    MinionAnnouncement leaving = cluster.minion(3).announcement;
    leaving.state = MinionState::Leaving;
    cluster.announce(leaving, 0);
    cluster.run(absl::Milliseconds(100));
    for (size_t i = 0; i < 3; ++i)
        CHECK(stateAt(i, 3) == MinionState::Leaving);
}

TEST(MinionRegistry, AnOlderAnnouncementChangesAndRenewsNothing)
{
    MinionAnnouncement older = cluster.minion(3).announcement;
    older.sequence = 1;
    older.slots = SlotCount(1);
    cluster.stopMinion(3);
    for (int i = 0; i < 9; ++i) {
        cluster.announce(older, 0);
        cluster.run(absl::Milliseconds(500));
        CHECK(!knows(0, 3) || cluster.entry(0).reported.at(older.minion).slots == SlotCount(8));
    }
    CHECK(!knows(0, 3));
}

TEST(MinionRegistry, ANewRunReplacesTheOldOneEverywhere)
{
    const MinionAnnouncement old = cluster.minion(3).announcement;
    cluster.leaveMinion(3);
    cluster.run(absl::Milliseconds(100));
    cluster.restartMinion(3);
    cluster.run(absl::Milliseconds(100));
    cluster.announce(old, 2);
    cluster.run(absl::Milliseconds(100));
    for (size_t i = 0; i < 3; ++i) {
        CHECK(stateAt(i, 3) == MinionState::Serving);
        CHECK_EQUAL(2, cluster.entry(i).reported.at(old.minion).incarnation.value());
    }
}

TEST(MinionRegistry, LostChangesAreRepairedByLeaseRenewals)
{
    cluster.setFaults({ 100, 0, {} });
    cluster.resizeMinion(3, 2);
    cluster.leaveMinion(4);
    cluster.addMinion();
    cluster.run(absl::Milliseconds(300));
    cluster.heal();
    cluster.run(absl::Seconds(4));
    STRCMP_EQUAL("", cluster.disagreement().c_str());
}

TEST(MinionRegistry, AMinionOutlivesTheEntryThatReceivedItsAnnouncement)
{
    const size_t added = cluster.addMinion();
    cluster.minion(added).nextAnnouncement = cluster.now() + absl::Milliseconds(1500);
    MinionAnnouncement first = cluster.minion(added).announcement;
    first.sequence = 1;
    cluster.minion(added).announcement.sequence = 1;
    cluster.announce(first, 0);
    cluster.kill(0);
    cluster.run(absl::Milliseconds(100));
    CHECK(knows(1, added) && knows(2, added));
    cluster.run(absl::Seconds(6));
    STRCMP_EQUAL("", cluster.disagreement().c_str());
}

TEST(MinionRegistry, ARestartedEntryLearnsAllInAFewSeconds)
{
    cluster.restart(0);
    cluster.run(absl::Seconds(4));
    STRCMP_EQUAL("", cluster.disagreement().c_str());
}

TEST(MinionRegistry, AFrozenEntryKeepsItsMinionsAndLearnsWhatItMissed)
{
    cluster.freeze(0);
    cluster.run(absl::Seconds(1));
    cluster.leaveMinion(3);
    cluster.restartMinion(4);
    cluster.run(absl::Seconds(9));
    // Its peers presumed it dead and closed their connections.
    cluster.entry(0).held.clear();
    cluster.resume(0);
    cluster.run(absl::Milliseconds(100));
    CHECK_EQUAL(20, cluster.entry(0).reported.size());
    cluster.run(absl::Seconds(4));
    STRCMP_EQUAL("", cluster.disagreement().c_str());
}

TEST(MinionRegistry, RefusesAMinionOfAnotherDataCentre)
{
    MinionAnnouncement other = cluster.minion(0).announcement;
    other.dataCentre = DataCentreId("elsewhere");
    const Result<Done> result = cluster.entry(0).registry->announced(other, cluster.now());
    CHECK(errorOf(result) && errorOf(result)->code == ErrorCode::Conflict);
}

TEST(MinionRegistry, ASparseRosterIsRenumbered)
{
    for (int round = 0; round < 40; ++round) {
        for (size_t i = 0; i < cluster.minionCount(); ++i)
            cluster.restartMinion(i);
        cluster.run(absl::Milliseconds(200));
    }
    cluster.run(absl::Seconds(3));
    STRCMP_EQUAL("", cluster.disagreement().c_str());
    CHECK(cluster.entry(0).registry->minionsOf(EntryCluster::service()).size() == 20);
}
