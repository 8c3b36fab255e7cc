#include "Dispatch/Broker/BrokerFixture.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

TEST_GROUP(Demand)
{
    BrokerFixture fixture;
    DaemonRun entryA = BrokerFixture::run("a");
};

TEST(Demand, ALaterDemandReplacesTheEarlierOne)
{
    fixture.update(entryA, { fixture.demand(1, 9) });
    fixture.update(entryA, { fixture.demand(1, 2) });
    fixture.announce("m", 8);
    LONGS_EQUAL(2, fixture.grants()[1]);
}

TEST(Demand, GrantsInFlightAreNotGrantedAgain)
{
    fixture.announce("m", 8);
    fixture.update(entryA, { fixture.demand(1, 3) });
    LONGS_EQUAL(3, fixture.grants()[1]);
    fixture.received[entryA] = 0;
    fixture.update(entryA, { fixture.demand(1, 4) });
    LONGS_EQUAL(1, fixture.grants()[1]);
}

TEST(Demand, TheJobWithTheLeastWorkGoesFirst)
{
    fixture.update(entryA, { fixture.demand(1, 50), fixture.demand(2, 2) });
    fixture.announce("m", 3);
    auto grants = fixture.grants();
    LONGS_EQUAL(2, grants[2]);
    LONGS_EQUAL(1, grants[1]);
}

TEST(Demand, ExcludedMinionsAreNotGranted)
{
    fixture.announce("m", 8);
    Demand demand = fixture.demand(1, 2);
    demand.excluded = { MinionId("m") };
    fixture.update(entryA, { demand, fixture.demand(2, 3) });
    auto grants = fixture.grants();
    LONGS_EQUAL(0, grants[1]);
    LONGS_EQUAL(3, grants[2]);
    fixture.announce("n", 8);
    LONGS_EQUAL(2, fixture.grants()[1]);
}

TEST(Demand, AJobThatNeverStartedIsRejectedAtItsDeadline)
{
    fixture.update(entryA, { fixture.demand(1, 1) });
    CHECK(fixture.grants().empty());
    fixture.now = fixture.broker->nextWakeup();
    fixture.grants();
    CHECK(fixture.lastDecisions.size() == 1 && fixture.lastDecisions[0].rejections.size() == 1);
    CHECK(fixture.lastDecisions[0].rejections[0].error.verdict == Verdict::NotRun);
}

TEST(Demand, AJobThatStartedBeforeIsNeverRejected)
{
    Demand demand = fixture.demand(1, 1);
    demand.hasStarted = true;
    fixture.update(entryA, { demand });
    fixture.now += absl::Hours(1);
    fixture.grants();
    CHECK(fixture.lastDecisions.empty());
}

TEST(Demand, AMassCancellationLeavesTheRestInOrder)
{
    constexpr uint64_t jobs = 10000;
    for (uint64_t job = 1; job <= jobs; ++job)
        fixture.update(entryA, { fixture.demand(job, 3) });
    std::vector<Demand> wave;
    for (uint64_t job = 1; job < jobs; ++job)
        wave.push_back(fixture.demand(job, 0));
    fixture.update(entryA, wave);
    fixture.announce("m", 8);
    auto grants = fixture.grants();
    LONGS_EQUAL(1, grants.size());
    LONGS_EQUAL(3, grants[jobs]);
}

TEST(Demand, AnUnknownStrategyIsAnError)
{
    BrokerPolicy policy;
    policy.jobOrder = "none such";
    auto result = QueueingSlotBroker::create(policy, fixture.random);
    CHECK(errorOf(result) && errorOf(result)->code == ErrorCode::Malformed);
}
