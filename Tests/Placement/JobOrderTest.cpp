#include "Placement/CellFixture.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

// Pattern: short urgent work waits behind long work.
TEST_GROUP(CellJobOrder)
{
    CellFixture fixture;
};

TEST(CellJobOrder, TheJobThatMustStartSoonestGetsTheNextRoom)
{
    fixture.addMinion("m1");
    fixture.offer("running", 2);
    const std::vector<StartOrder> running = fixture.takeStarts();
    JobOffer relaxed = fixture.makeOffer("relaxed", 1);
    relaxed.untilLate = absl::Seconds(1);
    fixture.offer(relaxed);
    fixture.offer("urgent", 1);
    fixture.endRun(running[0], RunEnd::Done);
    const std::vector<StartOrder> starts = fixture.takeStarts();
    LONGS_EQUAL(1, starts.size());
    CHECK(starts.front().run.job == JobKey("urgent"));
}

TEST(CellJobOrder, TheFasterMinionIsChosen)
{
    fixture.addMinion("fast");
    fixture.addMinion("slow");
    for (int i = 0; i < 10; ++i) {
        fixture.offer("job-" + std::to_string(i), 4);
        std::vector<StartOrder> starts = fixture.takeStarts();
        LONGS_EQUAL(4, starts.size());
        fixture.pass(absl::Milliseconds(60));
        for (const StartOrder& start : starts) {
            if (start.header.instance.minion == MinionId("fast"))
                fixture.endRun(start, RunEnd::Done);
        }
        fixture.pass(absl::Milliseconds(100));
        for (const StartOrder& start : starts) {
            if (start.header.instance.minion == MinionId("slow"))
                fixture.endRun(start, RunEnd::Done);
        }
    }
    fixture.offer("last", 1);
    CHECK(fixture.takeStarts().front().header.instance.minion == MinionId("fast"));
}
