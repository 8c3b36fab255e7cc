#include "Dispatch/Broker/BrokerFixture.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

TEST_GROUP(Demand)
{
    BrokerFixture f;
    DaemonRun a = BrokerFixture::run("a");
};

TEST(Demand, ALaterDemandReplacesTheEarlierOne)
{
    f.update(a, { f.demand(1, 9) });
    f.update(a, { f.demand(1, 2) });
    f.announce("m", 8);
    LONGS_EQUAL(2, f.grants()[1]);
}

TEST(Demand, GrantsOnTheirWayAreNotGrantedAgain)
{
    f.announce("m", 8);
    f.update(a, { f.demand(1, 3) });
    LONGS_EQUAL(3, f.grants()[1]);
    f.received[a] = 0;
    f.update(a, { f.demand(1, 4) });
    LONGS_EQUAL(1, f.grants()[1]);
}

TEST(Demand, TheJobWithTheLeastWorkGoesFirst)
{
    f.update(a, { f.demand(1, 50), f.demand(2, 2) });
    f.announce("m", 3);
    auto grants = f.grants();
    LONGS_EQUAL(2, grants[2]);
    LONGS_EQUAL(1, grants[1]);
}

TEST(Demand, ExcludedMinionsAreNotGranted)
{
    f.announce("m", 8);
    Demand demand = f.demand(1, 2);
    demand.excluded = { MinionId("m") };
    f.update(a, { demand, f.demand(2, 3) });
    auto grants = f.grants();
    LONGS_EQUAL(0, grants[1]);
    LONGS_EQUAL(3, grants[2]);
    f.announce("n", 8);
    LONGS_EQUAL(2, f.grants()[1]);
}

TEST(Demand, AJobThatNeverStartedIsRejectedAtItsDeadline)
{
    f.update(a, { f.demand(1, 1) });
    CHECK(f.grants().empty());
    f.now = f.broker->nextWakeup();
    f.grants();
    CHECK(f.last.size() == 1 && f.last[0].rejections.size() == 1);
    CHECK(f.last[0].rejections[0].error.verdict == Verdict::NotRun);
}

TEST(Demand, AJobThatStartedBeforeIsNeverRejected)
{
    Demand demand = f.demand(1, 1);
    demand.hasStarted = true;
    f.update(a, { demand });
    f.now += absl::Hours(1);
    f.grants();
    CHECK(f.last.empty());
}

TEST(Demand, AWaveOfCancellationsLeavesTheRestInOrder)
{
    constexpr uint64_t jobs = 10000;
    for (uint64_t job = 1; job <= jobs; ++job)
        f.update(a, { f.demand(job, 3) });
    std::vector<Demand> wave;
    for (uint64_t job = 1; job < jobs; ++job)
        wave.push_back(f.demand(job, 0));
    f.update(a, wave);
    f.announce("m", 8);
    auto grants = f.grants();
    LONGS_EQUAL(1, grants.size());
    LONGS_EQUAL(3, grants[jobs]);
}

TEST(Demand, AnUnknownStrategyIsAnError)
{
    BrokerPolicy policy;
    policy.jobOrder = "none such";
    auto result = QueueingSlotBroker::create(policy, f.random);
    CHECK(errorOf(result) && errorOf(result)->code == ErrorCode::Malformed);
}
