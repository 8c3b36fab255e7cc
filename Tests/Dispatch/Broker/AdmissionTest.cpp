#include "Dispatch/Broker/BrokerFixture.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

TEST_GROUP(Admission)
{
    BrokerFixture fixture;
    DaemonRun entryA = BrokerFixture::run("a");

    void setup() override
    {
        fixture.announce("m", 4);
    }

    Demand demandDueIn(uint64_t job, uint32_t tasks, absl::Duration left) const
    {
        Demand demand = fixture.demand(job, tasks);
        demand.deadline = fixture.now + left;
        return demand;
    }
};

TEST(Admission, AJobThatCannotMeetItsDeadlineIsRejectedEarlyAsNotRun)
{
    fixture.trainRunTimes(entryA, { { "m", absl::Seconds(1) } });
    fixture.update(entryA, { fixture.demand(1, 4) });
    fixture.grants();
    fixture.update(entryA, { demandDueIn(2, 100, absl::Seconds(20)) });
    CHECK(fixture.grants().empty());
    CHECK(fixture.lastDecisions.size() == 1 && fixture.lastDecisions[0].rejections.size() == 1);
    CHECK(fixture.lastDecisions[0].rejections[0].error.code == ErrorCode::Overloaded);
    CHECK(fixture.lastDecisions[0].rejections[0].error.verdict == Verdict::NotRun);
}

TEST(Admission, ADeclaredRunTimeIsNoReasonForRejection)
{
    ServiceDeclaration declaration;
    declaration.kinds.push_back({ TaskKindId("k"), absl::Seconds(50), true, {} });
    fixture.broker->declare(declaration);
    fixture.update(entryA, { demandDueIn(1, 4, absl::Seconds(2)) });
    LONGS_EQUAL(4, fixture.grants()[1]);
}

TEST(Admission, AStartedJobGoesFirstWhenItsDeadlineComesNear)
{
    fixture.trainRunTimes(entryA, { { "m", absl::Milliseconds(100) } });
    fixture.update(entryA, { demandDueIn(1, 8, absl::Seconds(10)) });
    LONGS_EQUAL(4, fixture.grants()[1]);
    fixture.now += absl::Milliseconds(9500);
    fixture.update(entryA, { fixture.demand(2, 1), fixture.demand(3, 1) }, { BrokerFixture::report(1, "m") });
    LONGS_EQUAL(1, fixture.grants()[1]);
}

TEST(Admission, AnUrgentJobOfABackerAboveItsQuotaIsServedAfterBackersWithinTheirs)
{
    ServiceDeclaration declaration;
    declaration.backers = { { BackerId("greedy"), 1, {} }, { BackerId("modest"), 1, {} } };
    fixture.broker->declare(declaration);
    fixture.trainRunTimes(entryA, { { "m", absl::Seconds(1) } });
    Demand greedy = fixture.demand(1, 8, "greedy");
    greedy.deadline = fixture.now + absl::Seconds(100);
    fixture.update(entryA, { greedy });
    LONGS_EQUAL(4, fixture.grants()[1]);
    fixture.now += absl::Seconds(95);
    SlotReport ended = BrokerFixture::report(1, "m");
    ended.runTime = absl::Seconds(1);
    fixture.update(entryA, {}, { ended });
    fixture.update(entryA, { fixture.demand(2, 1, "modest") });
    LONGS_EQUAL(1, fixture.grants()[2]);
}

TEST(Admission, ABurstOfOneBackerLeavesTheOthersTheirShare)
{
    ServiceDeclaration declaration;
    declaration.backers = { { BackerId("greedy"), 1, {} }, { BackerId("modest"), 1, {} } };
    fixture.broker->declare(declaration);
    std::vector<Demand> burst;
    for (uint64_t job = 1; job <= 40; ++job)
        burst.push_back(fixture.demand(job, 1, "greedy"));
    fixture.update(entryA, burst);
    LONGS_EQUAL(4, fixture.grants().size());
    fixture.update(entryA, { fixture.demand(100, 30, "modest") }, { BrokerFixture::report(1, "m"), BrokerFixture::report(2, "m") });
    LONGS_EQUAL(2, fixture.grants()[100]);
    fixture.update(entryA, {}, { BrokerFixture::report(3, "m") });
    LONGS_EQUAL(0, fixture.grants()[100]);
}
