#include "Dispatch/Broker/BrokerFixture.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

TEST_GROUP(SlotReserve)
{
    BrokerFixture f;
    DaemonRun a = BrokerFixture::run("a");

    void setup() override
    {
        f.announce("m", 40);
    }

    /// Runs one short task at a time for 5 s, so that the broker learns the demand of short tasks.
    void runShortTasks()
    {
        for (int i = 0; i < 50; ++i) {
            f.update(a, { f.demand(500, 1, "b", "short") });
            f.now += absl::Milliseconds(100);
            f.grants();
            f.update(a, {}, { { JobNumber(500), MinionId("m"), TaskKindId("short"), SlotEnding::Succeeded, absl::Milliseconds(80) } });
        }
        f.grants();
    }
};

TEST(SlotReserve, SaturatingLongWorkLeavesSlotsForShortTasks)
{
    f.teach(a, { { "m", absl::Seconds(5) } }, "long");
    runShortTasks();
    f.update(a, { f.demand(1, 100, "b", "long") });
    const uint32_t taken = f.grants()[1];
    CHECK(taken < 40 && taken >= 30);
    f.update(a, { f.demand(2, 1, "b", "short") });
    LONGS_EQUAL(1, f.grants()[2]);
}

TEST(SlotReserve, LongTasksUseAllSlotsWhereThereIsNoShortWork)
{
    f.teach(a, { { "m", absl::Seconds(5) } }, "long");
    f.update(a, { f.demand(1, 100, "b", "long") });
    LONGS_EQUAL(40, f.grants()[1]);
}

TEST(SlotReserve, AKindThatOverrunsItsDeclarationCountsAsLong)
{
    ServiceDeclaration declaration;
    declaration.kinds.push_back({ TaskKindId("liar"), absl::Milliseconds(50), true, {} });
    f.broker->declare(declaration);
    runShortTasks();
    f.teach(a, { { "m", absl::Seconds(5) } }, "liar");
    f.update(a, { f.demand(1, 100, "b", "liar") });
    const uint32_t taken = f.grants()[1];
    CHECK(taken < 40 && taken >= 30);
}
