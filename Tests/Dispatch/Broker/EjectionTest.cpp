#include "Dispatch/Broker/BrokerFixture.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

TEST_GROUP(Ejection)
{
    BrokerFixture fixture;
    DaemonRun entryA = BrokerFixture::run("a");
    uint64_t jobs = 0;

    void setup() override
    {
        for (const char* minion : { "bad", "m1", "m2", "m3" })
            fixture.announce(minion, 2);
        fixture.trainRunTimes(entryA, { { "bad", absl::Milliseconds(50) }, { "m1", absl::Milliseconds(100) }, { "m2", absl::Milliseconds(100) }, { "m3", absl::Milliseconds(100) } });
    }

    /// Runs a job with one task, and reports its ending depending on the minion that was granted.
    /// @return the minion, or an empty string if no slot was granted.
    std::string runTask(SlotEnding endingOfBad, SlotEnding endingOfOthers = SlotEnding::Succeeded)
    {
        fixture.byMinion.clear();
        fixture.update(entryA, { fixture.demand(++jobs, 1) });
        fixture.grants();
        if (fixture.byMinion.empty())
            return {};
        std::string minion = fixture.byMinion.begin()->first;
        fixture.update(entryA, {}, { BrokerFixture::report(jobs, minion, minion == "bad" ? endingOfBad : endingOfOthers) });
        return minion;
    }

    uint32_t countRunsAtBad(uint32_t tasks, SlotEnding endingOfBad, SlotEnding endingOfOthers = SlotEnding::Succeeded)
    {
        uint32_t count = 0;
        for (uint32_t task = 0; task < tasks; ++task)
            count += runTask(endingOfBad, endingOfOthers) == "bad";
        return count;
    }
};

TEST(Ejection, AMinionThatFailsAllTasksIsEjected)
{
    CHECK(countRunsAtBad(100, SlotEnding::TaskFailed) < 15);
    LONGS_EQUAL(0, countRunsAtBad(20, SlotEnding::TaskFailed));
}

TEST(Ejection, AMinionThatCannotBeginTasksIsProbedAndServesAgain)
{
    countRunsAtBad(100, SlotEnding::Unable);
    fixture.now += absl::Seconds(31);
    fixture.grants();
    LONGS_EQUAL(1, countRunsAtBad(20, SlotEnding::Unable));
    fixture.now += absl::Seconds(61);
    fixture.grants();
    LONGS_EQUAL(20, countRunsAtBad(20, SlotEnding::Succeeded));
}

TEST(Ejection, RefusalsAsBusyAreNoFault)
{
    for (int task = 0; task < 30; ++task) {
        runTask(SlotEnding::RefusedBusy);
        fixture.now += absl::Seconds(1);
    }
    CHECK(runTask(SlotEnding::Succeeded) == "bad");
}

TEST(Ejection, FailuresOnAllMinionsEjectABoundedShare)
{
    countRunsAtBad(200, SlotEnding::TaskFailed, SlotEnding::TaskFailed);
    fixture.update(entryA, { fixture.demand(++jobs, 100) });
    CHECK(fixture.grants()[jobs] >= 6);
}

TEST(Ejection, AMinionThatBecomesSlowLosesItsRank)
{
    // The minion "bad" was the fastest and becomes twenty times slower.
    for (int task = 0; task < 40; ++task) {
        fixture.byMinion.clear();
        fixture.update(entryA, { fixture.demand(++jobs, 1) });
        fixture.grants();
        const std::string minion = fixture.byMinion.begin()->first;
        SlotReport report = BrokerFixture::report(jobs, minion);
        report.runTime = absl::Milliseconds(minion == "bad" ? 1000 : 100);
        fixture.update(entryA, {}, { report });
    }
    fixture.byMinion.clear();
    fixture.update(entryA, { fixture.demand(++jobs, 3) });
    fixture.grants();
    LONGS_EQUAL(0, fixture.byMinion["bad"]);
}

TEST(Ejection, ARefusalAsLeavingOverridesTheAnnouncement)
{
    CHECK(runTask(SlotEnding::RefusedLeaving) == "bad");
    LONGS_EQUAL(0, countRunsAtBad(20, SlotEnding::Succeeded));
}

TEST_GROUP(Impossible)
{
    BrokerFixture fixture;
    DaemonRun entryA = BrokerFixture::run("a");

    void setup() override
    {
        ServiceDeclaration declaration;
        declaration.kinds.push_back({ TaskKindId("k"), absl::Milliseconds(100), true, {} });
        declaration.kinds.push_back({ TaskKindId("gpu"), absl::Milliseconds(100), true, { { "accelerators", 1 } } });
        fixture.broker->declare(declaration);
        fixture.announce("m", 4);
        fixture.grants();
    }
};

TEST(Impossible, AJobThatNoMinionCanRunIsRejectedAtOnceWithThatReason)
{
    fixture.update(entryA, { fixture.demand(1, 1, "b", "gpu") });
    fixture.grants();
    CHECK(fixture.lastDecisions.empty());
    fixture.now = fixture.broker->nextWakeup();
    fixture.grants();
    CHECK(fixture.lastDecisions.size() == 1 && fixture.lastDecisions[0].rejections.size() == 1);
    CHECK(fixture.lastDecisions[0].rejections[0].error.code == ErrorCode::Impossible);
    fixture.update(entryA, { fixture.demand(2, 1, "b", "gpu") });
    fixture.grants();
    CHECK(fixture.lastDecisions.size() == 1 && fixture.lastDecisions[0].rejections.size() == 1);
}

TEST(Impossible, AJobIsNotBegunWhileOneOfItsKindsHasNoMinion)
{
    Demand demand = fixture.demand(1, 1);
    demand.waiting[TaskKindId("gpu")] = 1;
    fixture.update(entryA, { demand });
    CHECK(fixture.grants().empty());
}
