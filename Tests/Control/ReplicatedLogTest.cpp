#include "Control/RecordingGroup.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

TEST_GROUP(ReplicatedLog)
{
    LogOracle oracle;
    std::unique_ptr<GroupCluster> cluster;

    void start(GroupCluster::Options options)
    {
        cluster = makeRecordingCluster(oracle, std::move(options));
        CHECK(cluster->runUntil([&] { return cluster->isWhole(); }));
    }

    RecordingGroup& member(size_t host)
    {
        return dynamic_cast<RecordingGroup&>(*cluster->group(host));
    }

    bool knows(size_t host, const Command& claim)
    {
        return member(host).find(std::get<ClaimRecord>(claim).submission).has_value();
    }

    /// Repeats the claim at a host until the host has applied it, as the ledger does.
    bool accept(size_t host, const ClaimRecord& claim, absl::Duration atMost = absl::Seconds(10))
    {
        const absl::Time end = cluster->now() + atMost;
        while (cluster->now() < end) {
            member(host).proposeCommand(claim);
            if (cluster->runUntil([&] { return knows(host, claim); }, absl::Milliseconds(300)))
                return true;
        }
        return false;
    }

    void checkWholeAgain()
    {
        cluster->repairAll();
        CHECK(cluster->runUntil([&] { return cluster->isWhole(); }, absl::Seconds(60)));
        STRCMP_EQUAL("", oracle.violation().c_str());
        CHECK(oracle.lastCommitted() <= cluster->group(cluster->leader())->status().commitIndex);
    }

    size_t follower()
    {
        return cluster->leader() == 0 ? 1 : 0;
    }

    bool isVoter(size_t host)
    {
        const std::vector<Member> members = member(cluster->leader()).status().members;
        return std::any_of(members.begin(), members.end(), [host](const Member& each) {
            return each.isVoter && each.id.daemon == DaemonId(absl::StrCat("d", host));
        });
    }
};

TEST(ReplicatedLog, FoundsOneGroupAndCommitsWhatAFollowerProposes)
{
    start({});
    CHECK(accept(follower(), claimOf(1, 0)));
    checkWholeAgain();
}

TEST(ReplicatedLog, FoundsNoGroupWhileADaemonIsMissing)
{
    cluster = makeRecordingCluster(oracle, {});
    cluster->crash(2);
    cluster->run(absl::Seconds(10));
    CHECK(!cluster->hasLeader());
    checkWholeAgain();
}

TEST(ReplicatedLog, CommitsNothingBeforeADiskHasSyncedIt)
{
    start({ .hosts = 3, .hostsWithDisk = 1 });
    cluster->setSyncTime(0, absl::Seconds(100));
    CHECK(!accept(cluster->leader(), claimOf(1, 0), absl::Seconds(3)));
    cluster->setSyncTime(0, absl::Milliseconds(5));
}

TEST(ReplicatedLog, ALeaderWithoutAMajorityStepsDownAndItsEntriesAreDiscarded)
{
    start({});
    const size_t old = cluster->leader();
    cluster->cut({ old });
    member(old).proposeCommand(claimOf(1, 0));
    cluster->run(absl::Seconds(1));
    CHECK(!member(old).status().isLeading);
    CHECK(!member(old).proposeCommand(claimOf(2, 0)));
    CHECK(cluster->runUntil([&] { return cluster->hasLeader(); }));
    CHECK(accept(cluster->leader(), claimOf(1, 7)));
    checkWholeAgain();
    CHECK(member(old).find(claimOf(1, 0).submission)->claim.owner == claimOf(1, 7).owner);
}

TEST(ReplicatedLog, AMemberBackFromIsolationDoesNotDeposeTheLeader)
{
    start({});
    const Term term = member(cluster->leader()).status().term;
    const size_t isolated = follower();
    // It returns at many different moments, including while it requests votes.
    for (int round = 0; round < 60; ++round) {
        cluster->cut({ isolated });
        cluster->run(absl::Seconds(5) + absl::Milliseconds(37 * round));
        cluster->heal();
        cluster->run(absl::Seconds(2));
        CHECK(member(cluster->leader()).status().term == term);
    }
    checkWholeAgain();
}

TEST(ReplicatedLog, AResumedLeaderCommitsNoneOfItsOwnEntries)
{
    start({});
    const size_t old = cluster->leader();
    cluster->freeze(old);
    cluster->run(absl::Seconds(3));
    CHECK(cluster->hasLeader());
    CHECK(accept(cluster->leader(), claimOf(1, 7)));
    cluster->resume(old);
    CHECK(!member(old).proposeCommand(claimOf(1, 0)));
    checkWholeAgain();
    CHECK(member(old).find(claimOf(1, 0).submission)->claim.owner == claimOf(1, 7).owner);
}

TEST(ReplicatedLog, ADaemonThatLostItsDiskRejoinsAsANewMember)
{
    start({});
    CHECK(accept(0, claimOf(1, 0)));
    cluster->loseDisk(2);
    cluster->run(absl::Seconds(2));
    checkWholeAgain();
    CHECK(knows(2, claimOf(1, 0)));
}

TEST(ReplicatedLog, ASecondLossRightAfterTheRepairLosesNothing)
{
    start({ .hosts = 3, .hostsWithDisk = 2 });
    for (uint64_t round = 0; round < 6; ++round) {
        const size_t lost = round % 3;
        CHECK(accept((lost + 1) % 3, claimOf(round, 0)));
        cluster->loseDisk(lost);
        cluster->restart(lost);
        CHECK(cluster->runUntil([&] { return cluster->isWhole(); }, absl::Seconds(60)));
    }
    for (uint64_t round = 0; round < 6; ++round)
        CHECK(knows(0, claimOf(round, 0)));
    checkWholeAgain();
}

TEST(ReplicatedLog, ASecondLossBeforeTheRepairIsDoneLosesNothing)
{
    start({ .hosts = 5, .hostsWithDisk = 5 });
    CHECK(accept(0, claimOf(1, 0)));
    cluster->loseDisk(3);
    cluster->restart(3);
    cluster->run(absl::Milliseconds(10));
    cluster->loseDisk(4);
    checkWholeAgain();
    CHECK(knows(3, claimOf(1, 0)));
    CHECK(knows(4, claimOf(1, 0)));
}

TEST(ReplicatedLog, TheOnlyDiskRestoresItsGroupWhenAllOthersLostTheirState)
{
    start({ .hosts = 3, .hostsWithDisk = 1, .claimGuard = absl::Hours(1) });
    cluster->skip(absl::Hours(1));
    CHECK(cluster->runUntil([&] { return cluster->isWhole(); }));
    CHECK(accept(1, claimOf(1, 0)));
    cluster->crash(1);
    cluster->crash(2);
    checkWholeAgain();
    CHECK(knows(2, claimOf(1, 0)));
    // The only disk took part in every commit, so no guard time is needed.
    CHECK(accept(1, claimOf(2, 0)));
    CHECK(!member(1).find(claimOf(2, 0).submission)->outcome);
}

TEST(ReplicatedLog, ASurvivorThatMayLackCommittedEntriesGrantsNothingWithinTheGuard)
{
    oracle.mayStartAgain = true;
    start({ .hosts = 3, .hostsWithDisk = 2, .claimGuard = absl::Hours(1) });
    cluster->skip(absl::Hours(1));
    CHECK(cluster->runUntil([&] { return cluster->isWhole(); }));
    cluster->cut({ 0 });
    CHECK(accept(1, claimOf(1, 1)));
    cluster->loseDisk(1);
    cluster->loseDisk(2);
    checkWholeAgain();
    CHECK(accept(0, claimOf(1, 0)));
    CHECK(member(0).find(claimOf(1, 0).submission)->outcome->verdict == Verdict::MayHaveRun);
}

TEST(ReplicatedLog, ASurvivorThatMayLackCommittedEntriesFoundsNoGroupWithoutAGuard)
{
    start({ .hosts = 3, .hostsWithDisk = 2 });
    cluster->cut({ 0 });
    CHECK(accept(1, claimOf(1, 1)));
    cluster->loseDisk(1);
    cluster->loseDisk(2);
    cluster->repairAll();
    cluster->run(absl::Minutes(2));
    CHECK(!cluster->hasLeader());
}

TEST(ReplicatedLog, CatchingUpCostsFewMessages)
{
    start({});
    const size_t behind = follower();
    cluster->cut({ behind });
    const size_t leader = cluster->leader();
    for (uint64_t i = 0; i < 5000; ++i)
        member(leader).proposeCommand(claimOf(i, 0));
    CHECK(cluster->runUntil([&] { return knows(leader, claimOf(4999, 0)); }));
    cluster->run(absl::Seconds(5));
    const uint64_t before = cluster->messagesSent();
    cluster->heal();
    CHECK(cluster->runUntil([&] { return cluster->isWhole(); }, absl::Seconds(3)));
    CHECK(cluster->messagesSent() - before < 500);
}

TEST(ReplicatedLog, AGroupThatLostAllItsStateGrantsNothingWithinTheGuard)
{
    oracle.mayStartAgain = true;
    start({ .claimGuard = absl::Hours(1) });
    cluster->skip(absl::Hours(1));
    CHECK(cluster->runUntil([&] { return cluster->isWhole(); }));
    CHECK(accept(0, claimOf(1, 0)));
    for (size_t host = 0; host < 3; ++host)
        cluster->loseDisk(host);
    cluster->repairAll();
    CHECK(cluster->runUntil([&] { return cluster->isWhole(); }));
    CHECK(accept(1, claimOf(1, 1)));
    CHECK(member(1).find(claimOf(1, 1).submission)->outcome->verdict == Verdict::MayHaveRun);
    STRCMP_EQUAL("", oracle.violation().c_str());
}

TEST(ReplicatedLog, AMemberBehindTheStartOfTheLogIsSentASnapshot)
{
    start({ .hosts = 3, .hostsWithDisk = 3, .maxEntries = 100 });
    cluster->cut({ 2 });
    for (uint64_t i = 0; i < 500; ++i)
        CHECK(accept(0, claimOf(i, 0)));
    checkWholeAgain();
    CHECK(member(2).wasRestored());
    for (uint64_t i = 0; i < 500; ++i)
        CHECK(knows(2, claimOf(i, 0)));
}

TEST(ReplicatedLog, AMemberWithAFailedDiskStopsAndTheOthersContinue)
{
    start({});
    const size_t failed = cluster->leader();
    cluster->failDisk(failed);
    CHECK(cluster->runUntil([&] { return cluster->hasLeader(); }));
    CHECK(cluster->leader() != failed);
    CHECK(accept(cluster->leader(), claimOf(1, 0)));
    CHECK(!member(failed).status().failure.empty());
}

// Guards against members that stay out of their group for good after one failed write: with each disk that was full for
// some seconds the group lost a voter, until no majority was left.
TEST(ReplicatedLog, DisksThatFailOneAfterTheOtherAndWorkAgainCostNoMember)
{
    start({});
    for (uint64_t round = 0; round < 6; ++round) {
        const size_t failed = cluster->leader();
        member(failed).proposeCommand(claimOf(round, 0));
        cluster->failDisk(failed);
        CHECK(cluster->runUntil([&] { return cluster->hasLeader(); }));
        CHECK(accept(cluster->leader(), claimOf(100 + round, 0)));
        cluster->repairDisk(failed);
        CHECK(cluster->runUntil([&] { return cluster->isWhole(); }));
        CHECK(knows(failed, claimOf(100 + round, 0)));
        CHECK(member(failed).status().failure.empty());
    }
    STRCMP_EQUAL("", oracle.violation().c_str());
}

// Guards against a voter that is gone but counts until a later loss ends the group: each new leader counted its silence
// anew, while a learner that could replace it was there.
TEST(ReplicatedLog, ASilentVoterIsReplacedHoweverOftenTheLeaderChanges)
{
    start({ .hosts = 4, .hostsWithDisk = 4, .maxVoters = 3, .voterTimeout = absl::Seconds(6), .keepsOddVoters = true, .minSyncedDisks = 2 });
    const size_t learner = isVoter(3) ? 2 : 3;
    CHECK(!isVoter(learner));
    const size_t lost = follower();
    cluster->crash(lost);
    for (int change = 0; change < 3; ++change) {
        cluster->run(absl::Seconds(2));
        const size_t old = cluster->leader();
        cluster->freeze(old);
        cluster->run(absl::Seconds(1));
        cluster->resume(old);
        CHECK(cluster->runUntil([&] { return cluster->hasLeader(); }));
    }
    CHECK(cluster->runUntil([&] { return cluster->hasLeader() && isVoter(learner) && !isVoter(lost); }, absl::Seconds(3)));
    STRCMP_EQUAL("", oracle.violation().c_str());
}

TEST(ReplicatedLog, ASecondLossAfterASilentVoterWasReplacedLosesNothing)
{
    start({ .hosts = 4, .hostsWithDisk = 4, .maxVoters = 3, .voterTimeout = absl::Seconds(2), .keepsOddVoters = true, .minSyncedDisks = 2 });
    const size_t learner = isVoter(3) ? 2 : 3;
    const size_t lost = cluster->leader();
    CHECK(accept(lost, claimOf(1, 0)));
    cluster->crash(lost);
    cluster->run(absl::Seconds(5));
    const size_t second = lost == 0 ? 1 : 0;
    cluster->loseDisk(second);
    cluster->restart(second);
    CHECK(cluster->runUntil([&] { return cluster->hasLeader(); }));
    CHECK(accept(learner, claimOf(2, 0)));
    CHECK(knows(learner, claimOf(1, 0)));
    STRCMP_EQUAL("", oracle.violation().c_str());
}

TEST(ReplicatedLog, AVoterThatAnswersIsKeptByALeaderThatStoodStill)
{
    start({ .hosts = 4, .hostsWithDisk = 4, .maxVoters = 3, .voterTimeout = absl::Seconds(2), .keepsOddVoters = true, .minSyncedDisks = 2 });
    const size_t learner = isVoter(3) ? 2 : 3;
    for (int round = 0; round < 6; ++round) {
        const size_t old = cluster->leader();
        cluster->freeze(old);
        cluster->run(absl::Milliseconds(1900));
        cluster->resume(old);
        CHECK(cluster->runUntil([&] { return cluster->isWhole(); }));
        CHECK(!isVoter(learner));
    }
}

TEST(ReplicatedLog, ARemovedDaemonNoLongerCounts)
{
    start({});
    const size_t removed = (cluster->leader() + 1) % 3;
    cluster->crash(removed);
    CHECK(member(cluster->leader()).removeDaemon(DaemonId(absl::StrCat("d", removed))));
    cluster->run(absl::Seconds(1));
    CHECK_EQUAL(2, member(cluster->leader()).status().members.size());
    checkWholeAgain();
}
