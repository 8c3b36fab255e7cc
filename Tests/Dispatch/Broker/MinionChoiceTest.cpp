#include "Dispatch/Broker/BrokerFixture.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

TEST_GROUP(MinionChoice)
{
    BrokerFixture f;
    DaemonRun a = BrokerFixture::run("a");

    void setup() override
    {
        f.announce("fast", 4);
        f.announce("slow", 4);
        f.teach(a, { { "fast", absl::Milliseconds(50) }, { "slow", absl::Milliseconds(400) } });
    }
};

TEST(MinionChoice, TheFastestFreeMinionIsLearned)
{
    f.update(a, { f.demand(1, 3) });
    f.grants();
    LONGS_EQUAL(3, f.byMinion["fast"]);
}

TEST(MinionChoice, ALastTaskWaitsForAFastSlot)
{
    f.update(a, { f.demand(1, 4) });
    f.grants();
    f.update(a, { f.demand(2, 1) });
    CHECK(f.grants().empty());
    f.update(a, {}, { BrokerFixture::report(1, "fast") });
    LONGS_EQUAL(1, f.grants()[2]);
    LONGS_EQUAL(5, f.byMinion["fast"]);
}

TEST(MinionChoice, PatienceEndsWhenNoFastSlotComesFree)
{
    f.update(a, { f.demand(1, 4) });
    f.grants();
    f.update(a, { f.demand(2, 1) });
    f.grants();
    CHECK(f.broker->nextWakeup() < f.now + absl::Milliseconds(400));
    f.now = f.broker->nextWakeup();
    LONGS_EQUAL(1, f.grants()[2]);
    LONGS_EQUAL(1, f.byMinion["slow"]);
}

TEST(MinionChoice, AJobOfManyTasksTakesSlowSlotsToo)
{
    f.update(a, { f.demand(1, 1000) });
    LONGS_EQUAL(8, f.grants()[1]);
}
