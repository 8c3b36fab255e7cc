#include "Dispatch/Broker/BrokerFixture.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

TEST_GROUP(Ejection)
{
    BrokerFixture f;
    DaemonRun a = BrokerFixture::run("a");
    uint64_t jobs = 0;

    void setup() override
    {
        for (const char* minion : { "bad", "m1", "m2", "m3" })
            f.announce(minion, 2);
        f.teach(a, { { "bad", absl::Milliseconds(50) }, { "m1", absl::Milliseconds(100) }, { "m2", absl::Milliseconds(100) }, { "m3", absl::Milliseconds(100) } });
    }

    /// Runs a job with one task, and reports its ending depending on the minion that was granted.
    /// @return the minion, or an empty string if no slot was granted.
    std::string runTask(SlotEnding endingOfBad, SlotEnding endingOfOthers = SlotEnding::Succeeded)
    {
        f.byMinion.clear();
        f.update(a, { f.demand(++jobs, 1) });
        f.grants();
        if (f.byMinion.empty())
            return {};
        std::string minion = f.byMinion.begin()->first;
        f.update(a, {}, { BrokerFixture::report(jobs, minion, minion == "bad" ? endingOfBad : endingOfOthers) });
        return minion;
    }

    uint32_t countOfBad(uint32_t tasks, SlotEnding endingOfBad, SlotEnding endingOfOthers = SlotEnding::Succeeded)
    {
        uint32_t count = 0;
        for (uint32_t task = 0; task < tasks; ++task)
            count += runTask(endingOfBad, endingOfOthers) == "bad";
        return count;
    }
};

TEST(Ejection, AMinionThatFailsEverythingSoonGetsNothing)
{
    CHECK(countOfBad(100, SlotEnding::TaskFailed) < 15);
    LONGS_EQUAL(0, countOfBad(20, SlotEnding::TaskFailed));
}

TEST(Ejection, AMinionThatCannotBeginTasksIsProbedAndComesBack)
{
    countOfBad(100, SlotEnding::Unable);
    f.now += absl::Seconds(31);
    f.grants();
    LONGS_EQUAL(1, countOfBad(20, SlotEnding::Unable));
    f.now += absl::Seconds(61);
    f.grants();
    LONGS_EQUAL(20, countOfBad(20, SlotEnding::Succeeded));
}

TEST(Ejection, RefusalsForLoadAreNoFault)
{
    for (int task = 0; task < 30; ++task) {
        runTask(SlotEnding::RefusedBusy);
        f.now += absl::Seconds(1);
    }
    CHECK(runTask(SlotEnding::Succeeded) == "bad");
}

TEST(Ejection, FailuresOnAllMinionsEjectABoundedShare)
{
    countOfBad(200, SlotEnding::TaskFailed, SlotEnding::TaskFailed);
    f.update(a, { f.demand(++jobs, 100) });
    CHECK(f.grants()[jobs] >= 6);
}

TEST(Ejection, AStragglerLosesItsPlace)
{
    // The minion "bad" was the fastest and becomes twenty times slower.
    for (int task = 0; task < 40; ++task) {
        f.byMinion.clear();
        f.update(a, { f.demand(++jobs, 1) });
        f.grants();
        const std::string minion = f.byMinion.begin()->first;
        SlotReport report = BrokerFixture::report(jobs, minion);
        report.runTime = absl::Milliseconds(minion == "bad" ? 1000 : 100);
        f.update(a, {}, { report });
    }
    f.byMinion.clear();
    f.update(a, { f.demand(++jobs, 3) });
    f.grants();
    LONGS_EQUAL(0, f.byMinion["bad"]);
}

TEST(Ejection, ARefusalForLeavingOutranksTheAnnouncement)
{
    CHECK(runTask(SlotEnding::RefusedLeaving) == "bad");
    LONGS_EQUAL(0, countOfBad(20, SlotEnding::Succeeded));
}

TEST_GROUP(Impossible)
{
    BrokerFixture f;
    DaemonRun a = BrokerFixture::run("a");

    void setup() override
    {
        ServiceDeclaration declaration;
        declaration.kinds.push_back({ TaskKindId("k"), absl::Milliseconds(100), true, {} });
        declaration.kinds.push_back({ TaskKindId("gpu"), absl::Milliseconds(100), true, { { "accelerators", 1 } } });
        f.broker->declare(declaration);
        f.announce("m", 4);
        f.grants();
    }
};

TEST(Impossible, AJobThatNoMinionCanRunIsRejectedAtOnceWithThatReason)
{
    f.update(a, { f.demand(1, 1, "b", "gpu") });
    f.grants();
    CHECK(f.last.empty());
    f.now = f.broker->nextWakeup();
    f.grants();
    CHECK(f.last.size() == 1 && f.last[0].rejections.size() == 1);
    CHECK(f.last[0].rejections[0].error.code == ErrorCode::Impossible);
    f.update(a, { f.demand(2, 1, "b", "gpu") });
    f.grants();
    CHECK(f.last.size() == 1 && f.last[0].rejections.size() == 1);
}

TEST(Impossible, AJobIsNotBegunWhileOneOfItsKindsHasNoMinion)
{
    Demand demand = f.demand(1, 1);
    demand.waiting[TaskKindId("gpu")] = 1;
    f.update(a, { demand });
    CHECK(f.grants().empty());
}
