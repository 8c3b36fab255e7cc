#include "Placement/CellFixture.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

// Pattern: more jobs come than the cell can serve in time.
TEST_GROUP(CellAdmission)
{
    CellFixture fixture;

    void setup() override
    {
        fixture.addMinion("m1");
    }
};

TEST(CellAdmission, WithRoomAtHandEvenALongEstimateIsBegun)
{
    JobOffer offer = fixture.makeOffer("job", 2);
    offer.estimate = absl::Seconds(5);
    fixture.offer(offer);
    LONGS_EQUAL(2, fixture.takeStarts().size());
    LONGS_EQUAL(0, fixture.takeEnded().size());
}

TEST(CellAdmission, AJobThatWouldBeTooLateIsTurnedDownAtOnceAndNeverRuns)
{
    for (int i = 0; i < 20; ++i)
        fixture.offer("job-" + std::to_string(i), 2);
    fixture.takeStarts();
    const std::vector<JobResult> ended = fixture.takeEnded();
    CHECK(ended.size() >= 10);
    for (const JobResult& each : ended) {
        CHECK(each.end == JobEnd::Rejected);
        CHECK(each.retryAfter >= absl::Seconds(1));
    }
}

// Pattern: a large job waits at the head of the queue while there is room for small ones.
TEST(CellAdmission, ASmallJobStartsBesideALargeOneThatHasNoRoom)
{
    fixture.offer("first", 1);
    JobOffer large = fixture.makeOffer("large", 1);
    large.need = { 12000, 64, 0 };
    fixture.offer(large);
    JobOffer small = fixture.makeOffer("small", 2);
    small.need = { 4000, 64, 0 };
    fixture.offer(small);
    const std::vector<StartOrder> starts = fixture.takeStarts();
    LONGS_EQUAL(3, starts.size());
    CHECK(starts[0].run.job == JobKey("first"));
    CHECK(starts[1].run.job == JobKey("small") && starts[2].run.job == JobKey("small"));
    for (const StartOrder& start : starts)
        fixture.answerStart(start);
    fixture.endRun(starts[0], RunEnd::Done);
    LONGS_EQUAL(0, fixture.takeStarts().size());
    fixture.endRun(starts[1], RunEnd::Done);
    const std::vector<StartOrder> last = fixture.takeStarts();
    LONGS_EQUAL(1, last.size());
    CHECK(last[0].run.job == JobKey("large"));
}

TEST(CellAdmission, AQueuedJobIsTurnedDownAsSoonAsItCantEndInTime)
{
    fixture.offer("first", 2);
    fixture.offer("second", 1);
    const std::vector<StartOrder> starts = fixture.takeStarts();
    LONGS_EQUAL(2, starts.size());
    for (const StartOrder& start : starts)
        fixture.answerStart(start);
    LONGS_EQUAL(0, fixture.takeEnded().size());
    fixture.answerHold("m1", { { starts[0].run, 1 }, { starts[1].run, 1 } });
    fixture.pass(absl::Milliseconds(380));
    const std::vector<JobResult> ended = fixture.takeEnded();
    LONGS_EQUAL(1, ended.size());
    CHECK(ended.front().job == JobKey("second"));
    CHECK(ended.front().end == JobEnd::Rejected);
}

TEST(CellAdmission, AJobThatNoMinionCouldEverHoldIsRefusedAtOnce)
{
    JobOffer offer = fixture.makeOffer("job", 1);
    offer.need.milliCores = 20000;
    fixture.offer(offer);
    CHECK(fixture.takeEnded().front().end == JobEnd::Impossible);
    LONGS_EQUAL(0, fixture.takeStarts().size());
}

// Pattern: tasks of 7 cores on minions of 16, of which 2 cores can never be used.
TEST(CellAdmission, TheLoadToldLeavesOutRoomThatNoUsualTaskFits)
{
    LONGS_EQUAL(16000, fixture.cell().load(fixture.now()).freeMilliCores);
    fixture.offer("job", 1);
    const CellLoad load = fixture.cell().load(fixture.now());
    LONGS_EQUAL(14000, load.totalMilliCores);
    LONGS_EQUAL(7000, load.freeMilliCores);
    fixture.offer("next", 1);
    LONGS_EQUAL(0, fixture.cell().load(fixture.now()).freeMilliCores);
}

TEST(CellAdmission, ACancelledJobThatHasNotBegunIsSaidNotToHaveRun)
{
    fixture.offer("first", 2);
    fixture.offer("second", 1);
    fixture.cell().cancelled({ CellId { ServiceId("service"), DataCentreId("centre") }, JobKey("second"), 1 }, DaemonId("entry-1"), fixture.now());
    fixture.cell().cancelled({ CellId { ServiceId("service"), DataCentreId("centre") }, JobKey("first"), 1 }, DaemonId("entry-1"), fixture.now());
    fixture.pass(absl::Milliseconds(20));
    const std::vector<JobResult> ended = fixture.takeEnded();
    LONGS_EQUAL(2, ended.size());
    CHECK(ended[0].end == JobEnd::Rejected);
    CHECK(ended[1].end == JobEnd::GivenUp);
}

TEST(CellAdmission, ACancelStopsWhatRunsBeforeTheEntryHearsOfTheEnd)
{
    fixture.offer("job", 2);
    const std::vector<StartOrder> starts = fixture.takeStarts();
    fixture.answerStart(starts[0]);
    fixture.cell().cancelled({ starts[0].header.instance.minion == MinionId("m1") ? CellId { ServiceId("service"), DataCentreId("centre") } : CellId {}, JobKey("job"), 1 }, DaemonId("entry-1"), fixture.now());
    fixture.pass(absl::Milliseconds(20));
    LONGS_EQUAL(2, fixture.takeStops().size());
}
