#include "Placement/CellFixture.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

// More jobs arrive than the cell can run in time.
TEST_GROUP(CellAdmission)
{
    CellFixture fixture;

    void setup() override
    {
        fixture.addMinion("m1");
    }
};

TEST(CellAdmission, AJobWithALongEstimateStartsIfResourcesAreFree)
{
    JobOffer offer = fixture.makeOffer("job", 2);
    offer.estimate = absl::Seconds(5);
    fixture.offer(offer);
    LONGS_EQUAL(2, fixture.takeStarts().size());
    LONGS_EQUAL(0, fixture.takeResults().size());
}

TEST(CellAdmission, AJobThatWouldEndTooLateIsRejectedAtOnceAndNeverRuns)
{
    for (int i = 0; i < 20; ++i)
        fixture.offer("job-" + std::to_string(i), 2);
    fixture.takeStarts();
    const std::vector<JobResult> ended = fixture.takeResults();
    CHECK(ended.size() >= 10);
    for (const JobResult& each : ended) {
        CHECK(each.end == JobEnd::Rejected);
        CHECK(each.reason == RejectionReason::ExpectedWait);
        CHECK(each.retryAfter >= absl::Seconds(1));
    }
}

// An entry that hasn't learned of the evacuation offers the job to another data centre.
TEST(CellAdmission, ARejectionSaysThatTheDataCentreIsEvacuated)
{
    fixture.cell().setEvacuated(true, true, fixture.now());
    fixture.offer("job", 2);
    LONGS_EQUAL(0, fixture.takeStarts().size());
    const std::vector<JobResult> ended = fixture.takeResults();
    LONGS_EQUAL(1, ended.size());
    CHECK(ended.front().end == JobEnd::Rejected);
    CHECK(ended.front().reason == RejectionReason::Evacuated);
}

// A large job waits at the head of the queue while enough is free for small ones.
TEST(CellAdmission, ASmallJobOvertakesALargeOneThatDoesNotFit)
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

TEST(CellAdmission, AQueuedJobIsRejectedAsSoonAsItCantEndInTime)
{
    fixture.offer("first", 2);
    fixture.offer("second", 1);
    const std::vector<StartOrder> starts = fixture.takeStarts();
    LONGS_EQUAL(2, starts.size());
    for (const StartOrder& start : starts)
        fixture.answerStart(start);
    LONGS_EQUAL(0, fixture.takeResults().size());
    fixture.answerRenewal("m1", { { starts[0].run, 1 }, { starts[1].run, 1 } });
    fixture.advance(absl::Milliseconds(380));
    const std::vector<JobResult> ended = fixture.takeResults();
    LONGS_EQUAL(1, ended.size());
    CHECK(ended.front().job == JobKey("second"));
    CHECK(ended.front().end == JobEnd::Rejected);
    CHECK(ended.front().reason == RejectionReason::OutOfTime);
}

TEST(CellAdmission, AJobThatFitsNoMinionIsRejectedAtOnce)
{
    JobOffer offer = fixture.makeOffer("job", 1);
    offer.need.milliCores = 20000;
    fixture.offer(offer);
    CHECK(fixture.takeResults().front().end == JobEnd::Impossible);
    LONGS_EQUAL(0, fixture.takeStarts().size());
}

// Tasks need 7 cores on minions of 16, so that 2 cores of each minion can never be used.
TEST(CellAdmission, TheReportedLoadLeavesOutCoresThatNoAverageTaskCanUse)
{
    LONGS_EQUAL(16000, fixture.cell().load(fixture.now()).freeMilliCores);
    fixture.offer("job", 1);
    const CellLoad load = fixture.cell().load(fixture.now());
    LONGS_EQUAL(14000, load.totalMilliCores);
    LONGS_EQUAL(7000, load.freeMilliCores);
    fixture.offer("next", 1);
    LONGS_EQUAL(0, fixture.cell().load(fixture.now()).freeMilliCores);
}

TEST(CellAdmission, ACancelledJobThatHasNotStartedIsReportedAsNotRun)
{
    fixture.offer("first", 2);
    fixture.offer("second", 1);
    fixture.cell().cancelled({ CellId { ServiceId("service"), DataCentreId("centre") }, JobKey("second"), 1 }, DaemonId("entry-1"), fixture.now());
    fixture.cell().cancelled({ CellId { ServiceId("service"), DataCentreId("centre") }, JobKey("first"), 1 }, DaemonId("entry-1"), fixture.now());
    fixture.advance(absl::Milliseconds(20));
    const std::vector<JobResult> ended = fixture.takeResults();
    LONGS_EQUAL(2, ended.size());
    CHECK(ended[0].end == JobEnd::Rejected);
    CHECK(ended[1].end == JobEnd::GivenUp);
}

TEST(CellAdmission, ACancelStopsRunsBeforeTheEntryGetsTheResult)
{
    fixture.offer("job", 2);
    const std::vector<StartOrder> starts = fixture.takeStarts();
    fixture.answerStart(starts[0]);
    fixture.cell().cancelled({ starts[0].header.instance.minion == MinionId("m1") ? CellId { ServiceId("service"), DataCentreId("centre") } : CellId {}, JobKey("job"), 1 }, DaemonId("entry-1"), fixture.now());
    fixture.advance(absl::Milliseconds(20));
    LONGS_EQUAL(2, fixture.takeStops().size());
}
