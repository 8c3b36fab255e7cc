#include "Dispatch/Broker/BrokerFixture.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

TEST_GROUP(MinionChoice)
{
    BrokerFixture fixture;
    DaemonRun entryA = BrokerFixture::run("a");

    void setup() override
    {
        fixture.announce("fast", 4);
        fixture.announce("slow", 4);
        fixture.trainRunTimes(entryA, { { "fast", absl::Milliseconds(50) }, { "slow", absl::Milliseconds(400) } });
    }
};

TEST(MinionChoice, TheFastestFreeMinionIsLearned)
{
    fixture.update(entryA, { fixture.demand(1, 3) });
    fixture.grants();
    LONGS_EQUAL(3, fixture.byMinion["fast"]);
}

TEST(MinionChoice, ALastTaskWaitsForAFastSlot)
{
    fixture.update(entryA, { fixture.demand(1, 4) });
    fixture.grants();
    fixture.update(entryA, { fixture.demand(2, 1) });
    CHECK(fixture.grants().empty());
    fixture.update(entryA, {}, { BrokerFixture::report(1, "fast") });
    LONGS_EQUAL(1, fixture.grants()[2]);
    LONGS_EQUAL(5, fixture.byMinion["fast"]);
}

TEST(MinionChoice, TheWaitEndsWhenNoFastSlotBecomesFree)
{
    fixture.update(entryA, { fixture.demand(1, 4) });
    fixture.grants();
    fixture.update(entryA, { fixture.demand(2, 1) });
    fixture.grants();
    CHECK(fixture.broker->nextWakeup() < fixture.now + absl::Milliseconds(400));
    fixture.now = fixture.broker->nextWakeup();
    LONGS_EQUAL(1, fixture.grants()[2]);
    LONGS_EQUAL(1, fixture.byMinion["slow"]);
}

TEST(MinionChoice, AJobOfManyTasksTakesSlowSlotsToo)
{
    fixture.update(entryA, { fixture.demand(1, 1000) });
    LONGS_EQUAL(8, fixture.grants()[1]);
}
