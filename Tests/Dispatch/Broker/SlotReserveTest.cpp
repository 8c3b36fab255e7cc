#include "Dispatch/Broker/BrokerFixture.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

TEST_GROUP(SlotReserve)
{
    BrokerFixture fixture;
    DaemonRun entryA = BrokerFixture::run("a");

    void setup() override
    {
        fixture.announce("m", 40);
    }

    /// Runs one short task at a time for 5 s, so that the broker learns the demand of short tasks.
    void runShortTasks()
    {
        for (int i = 0; i < 50; ++i) {
            fixture.update(entryA, { fixture.demand(500, 1, "b", "short") });
            fixture.now += absl::Milliseconds(100);
            fixture.grants();
            fixture.update(entryA, {}, { { JobNumber(500), MinionId("m"), TaskKindId("short"), SlotEnding::Succeeded, absl::Milliseconds(80) } });
        }
        fixture.grants();
    }
};

TEST(SlotReserve, SaturatingLongWorkLeavesSlotsForShortTasks)
{
    fixture.trainRunTimes(entryA, { { "m", absl::Seconds(5) } }, "long");
    runShortTasks();
    fixture.update(entryA, { fixture.demand(1, 100, "b", "long") });
    const uint32_t taken = fixture.grants()[1];
    CHECK(taken < 40 && taken >= 30);
    fixture.update(entryA, { fixture.demand(2, 1, "b", "short") });
    LONGS_EQUAL(1, fixture.grants()[2]);
}

TEST(SlotReserve, LongTasksUseAllSlotsWhereThereIsNoShortWork)
{
    fixture.trainRunTimes(entryA, { { "m", absl::Seconds(5) } }, "long");
    fixture.update(entryA, { fixture.demand(1, 100, "b", "long") });
    LONGS_EQUAL(40, fixture.grants()[1]);
}

TEST(SlotReserve, AKindThatOverrunsItsDeclarationCountsAsLong)
{
    ServiceDeclaration declaration;
    declaration.kinds.push_back({ TaskKindId("liar"), absl::Milliseconds(50), true, {} });
    fixture.broker->declare(declaration);
    runShortTasks();
    fixture.trainRunTimes(entryA, { { "m", absl::Seconds(5) } }, "liar");
    fixture.update(entryA, { fixture.demand(1, 100, "b", "liar") });
    const uint32_t taken = fixture.grants()[1];
    CHECK(taken < 40 && taken >= 30);
}
