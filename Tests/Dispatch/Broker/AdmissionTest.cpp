#include "Dispatch/Broker/BrokerFixture.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

TEST_GROUP(Admission)
{
    BrokerFixture f;
    DaemonRun a = BrokerFixture::run("a");

    void setup() override
    {
        f.announce("m", 4);
    }

    Demand shortlyDue(uint64_t job, uint32_t tasks, absl::Duration left) const
    {
        Demand demand = f.demand(job, tasks);
        demand.deadline = f.now + left;
        return demand;
    }
};

TEST(Admission, AJobThatCannotEndInTimeIsRejectedEarlyAndTruly)
{
    f.teach(a, { { "m", absl::Seconds(1) } });
    f.update(a, { f.demand(1, 4) });
    f.grants();
    f.update(a, { shortlyDue(2, 100, absl::Seconds(20)) });
    CHECK(f.grants().empty());
    CHECK(f.last.size() == 1 && f.last[0].rejections.size() == 1);
    CHECK(f.last[0].rejections[0].error.code == ErrorCode::Overloaded);
    CHECK(f.last[0].rejections[0].error.verdict == Verdict::NotRun);
}

TEST(Admission, ADeclaredRunTimeIsNoGroundForRejection)
{
    ServiceDeclaration declaration;
    declaration.kinds.push_back({ TaskKindId("k"), absl::Seconds(50), true, {} });
    f.broker->declare(declaration);
    f.update(a, { shortlyDue(1, 4, absl::Seconds(2)) });
    LONGS_EQUAL(4, f.grants()[1]);
}

TEST(Admission, AStartedJobGoesFirstWhenItsDeadlineComesNear)
{
    f.teach(a, { { "m", absl::Milliseconds(100) } });
    f.update(a, { shortlyDue(1, 8, absl::Seconds(10)) });
    LONGS_EQUAL(4, f.grants()[1]);
    f.now += absl::Milliseconds(9500);
    f.update(a, { f.demand(2, 1), f.demand(3, 1) }, { BrokerFixture::report(1, "m") });
    LONGS_EQUAL(1, f.grants()[1]);
}

TEST(Admission, AnUrgentJobOfABackerBeyondItsQuotaGoesAfterThoseWithin)
{
    ServiceDeclaration declaration;
    declaration.backers = { { BackerId("greedy"), 1, {} }, { BackerId("modest"), 1, {} } };
    f.broker->declare(declaration);
    f.teach(a, { { "m", absl::Seconds(1) } });
    Demand greedy = f.demand(1, 8, "greedy");
    greedy.deadline = f.now + absl::Seconds(100);
    f.update(a, { greedy });
    LONGS_EQUAL(4, f.grants()[1]);
    f.now += absl::Seconds(95);
    SlotReport ended = BrokerFixture::report(1, "m");
    ended.runTime = absl::Seconds(1);
    f.update(a, {}, { ended });
    f.update(a, { f.demand(2, 1, "modest") });
    LONGS_EQUAL(1, f.grants()[2]);
}

TEST(Admission, ABurstOfOneBackerLeavesTheOthersTheirShare)
{
    ServiceDeclaration declaration;
    declaration.backers = { { BackerId("greedy"), 1, {} }, { BackerId("modest"), 1, {} } };
    f.broker->declare(declaration);
    std::vector<Demand> burst;
    for (uint64_t job = 1; job <= 40; ++job)
        burst.push_back(f.demand(job, 1, "greedy"));
    f.update(a, burst);
    LONGS_EQUAL(4, f.grants().size());
    f.update(a, { f.demand(100, 30, "modest") }, { BrokerFixture::report(1, "m"), BrokerFixture::report(2, "m") });
    LONGS_EQUAL(2, f.grants()[100]);
    f.update(a, {}, { BrokerFixture::report(3, "m") });
    LONGS_EQUAL(0, f.grants()[100]);
}
