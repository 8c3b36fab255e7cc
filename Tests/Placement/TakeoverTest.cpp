#include "Placement/CellFixture.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

// The owner of a cell fails while minions run its jobs, and another entry takes over.
TEST_GROUP(Takeover)
{
    CellFixture fixture { 9 };

    JobOffer takeover(const std::string& job, uint32_t tasks)
    {
        JobOffer offer = fixture.makeOffer(job, tasks);
        offer.isTakeover = true;
        return offer;
    }
};

TEST(Takeover, ARunOfTheEarlierOwnerIsAdoptedAndNotRestarted)
{
    fixture.reportMinion("m1");
    fixture.offer(takeover("job", 1));
    fixture.answerRenewal("m1", { { CellFixture::runId("job", 0, 77), 10 } });
    LONGS_EQUAL(0, fixture.takeStarts().size());
    fixture.advance(absl::Milliseconds(40));
    fixture.answerRenewal("m1", {}, { { 1, CellFixture::runId("job", 0, 77), RunEnd::Done } });
    const std::vector<JobResult> ended = fixture.takeResults();
    LONGS_EQUAL(1, ended.size());
    CHECK(ended.front().end == JobEnd::Completed);
    LONGS_EQUAL(0, fixture.takeStarts().size());
}

TEST(Takeover, ARunThatIsListedBeforeItsJobIsOfferedIsAdopted)
{
    fixture.reportMinion("m1");
    fixture.answerRenewal("m1", { { CellFixture::runId("job", 0, 77), 10 } });
    fixture.offer(takeover("job", 2));
    const std::vector<StartOrder> starts = fixture.takeStarts();
    LONGS_EQUAL(1, starts.size());
    LONGS_EQUAL(1, starts.front().run.task.value());
}

TEST(Takeover, NothingStartsAgainBeforeAllMinionsAreFenced)
{
    fixture.addMinion("m1");
    fixture.reportMinion("m2");
    fixture.offer(takeover("job", 1));
    LONGS_EQUAL(0, fixture.takeStarts().size());
    fixture.answerRenewal("m2");
    LONGS_EQUAL(1, fixture.takeStarts().size());
}

// Guards against duplicate starts: a restarted entry was granted a cell before it knew the minions, and started tasks
// that were still running on them.
TEST(Takeover, NothingStartsAgainWhileNotAllMinionsAreKnown)
{
    fixture.cell().setMinionsKnown(false);
    fixture.addMinion("m1");
    fixture.offer(takeover("job", 1));
    LONGS_EQUAL(0, fixture.takeStarts().size());
    fixture.cell().setMinionsKnown(true);
    fixture.advance(absl::Milliseconds(20));
    LONGS_EQUAL(1, fixture.takeStarts().size());
}

// A caller submits a job again that an earlier owner started, before the new owner knows its runs.
TEST(Takeover, AResubmittedJobWaitsForTheFirstRenewals)
{
    fixture.addMinion("m1");
    fixture.reportMinion("m2");
    fixture.offer("job", 1);
    LONGS_EQUAL(0, fixture.takeStarts().size());
    fixture.answerRenewal("m2", { { CellFixture::runId("job", 0, 77), 10 } });
    LONGS_EQUAL(0, fixture.takeStarts().size());
    fixture.advance(absl::Milliseconds(60));
    fixture.answerRenewal("m2", {}, { { 1, CellFixture::runId("job", 0, 77), RunEnd::Stopped } });
    LONGS_EQUAL(1, fixture.takeStarts().size());
}

TEST(Takeover, AMinionThatDoesntAnswerDelaysNewJobsOnlyBriefly)
{
    fixture.addMinion("m1");
    fixture.reportMinion("m2");
    fixture.offer("job", 1);
    fixture.advance(absl::Milliseconds(160));
    LONGS_EQUAL(0, fixture.takeStarts().size());
    fixture.advance(absl::Milliseconds(60));
    LONGS_EQUAL(1, fixture.takeStarts().size());
}

TEST(Takeover, AfterTheLongestLeaseUnknownMinionsHaveNoRuns)
{
    fixture.cell().setMinionsKnown(false);
    fixture.addMinion("m1");
    JobOffer patient = takeover("job", 1);
    patient.untilLate = absl::Seconds(5);
    patient.untilTimeout = absl::Seconds(9);
    fixture.offer(patient);
    fixture.advance(absl::Milliseconds(1600));
    LONGS_EQUAL(0, fixture.takeStarts().size());
    fixture.advance(absl::Milliseconds(200));
    LONGS_EQUAL(1, fixture.takeStarts().size());
}

// Guards against tasks that run twice: an entry that was cut off with its data centre went on with the earlier owner, and
// offered its jobs long after the new owner had got the cell (review/8).
TEST(Takeover, RunsOfTheEarlierOwnerAreExpectedForALeaseAfterItsLastUse)
{
    fixture.addMinion("m1");
    fixture.reportMinion("m2");
    fixture.advance(absl::Seconds(5));
    JobOffer patient = takeover("job", 1);
    patient.untilLate = absl::Seconds(5);
    patient.untilTimeout = absl::Seconds(9);
    fixture.offer(patient);
    fixture.advance(absl::Milliseconds(1600));
    LONGS_EQUAL(0, fixture.takeStarts().size());
    fixture.advance(absl::Milliseconds(100));
    LONGS_EQUAL(1, fixture.takeStarts().size());
}

TEST(Takeover, AJobThatMayHaveStartedIsNeverRejected)
{
    // No minion is usable, so a new job would be rejected at once.
    fixture.reportMinion("m1");
    fixture.offer(takeover("job", 1));
    LONGS_EQUAL(0, fixture.takeResults().size());
    fixture.advance(absl::Seconds(3));
    const std::vector<JobResult> ended = fixture.takeResults();
    LONGS_EQUAL(1, ended.size());
    CHECK(ended.front().end == JobEnd::GivenUp);
}

// Several cells share a job, and the owner of one cell fails.
TEST(Takeover, APartOfAJobKeepsItsTaskIndexes)
{
    fixture.addMinion("m1");
    JobOffer part = fixture.makeOffer("job", 2);
    part.firstTask = 5;
    fixture.offer(part);
    const std::vector<StartOrder> starts = fixture.takeStarts();
    LONGS_EQUAL(2, starts.size());
    LONGS_EQUAL(5, starts[0].run.task.value());
    LONGS_EQUAL(6, starts[1].run.task.value());
    fixture.endRun(starts[0], RunEnd::Done);
    fixture.endRun(starts[1], RunEnd::Done);
    CHECK(fixture.takeResults().front().end == JobEnd::Completed);
}

TEST(Takeover, RunsWhoseJobsAreNotOfferedAgainAreStopped)
{
    fixture.reportMinion("m1");
    fixture.answerRenewal("m1", { { CellFixture::runId("orphan", 0, 77), 10 } });
    fixture.advance(absl::Milliseconds(500));
    LONGS_EQUAL(0, fixture.takeStops().size());
    fixture.advance(absl::Milliseconds(200));
    CHECK_FALSE(fixture.takeStops().empty());
}

TEST(Takeover, AFencedOwnerSendsNoMoreOrders)
{
    fixture.addMinion("m1");
    fixture.offer("job", 1);
    fixture.answerStart(fixture.takeStarts().front(), OrderFailure::Fenced);
    CHECK(fixture.cell().isSuperseded());
    fixture.takeRenewals();
    fixture.offer("next", 1);
    fixture.advance(absl::Milliseconds(500));
    LONGS_EQUAL(0, fixture.takeStarts().size());
    LONGS_EQUAL(0, fixture.takeRenewals().size());
}

// Guards against tasks that run twice at the same moment: two entries offer a job that its caller has submitted to both.
TEST(Takeover, AJobThatIsOfferedAgainWaitsForTheRunsOfTheEarlierOffer)
{
    fixture.reportMinion("m1");
    fixture.answerRenewal("m1", { { CellFixture::runId("job", 0, 77), 10 } });
    fixture.offer(takeover("job", 1));
    JobOffer again = takeover("job", 1);
    again.offerNumber = 700;
    fixture.offer(again);
    LONGS_EQUAL(0, fixture.takeStarts().size());
    LONGS_EQUAL(1, fixture.takeStops().size());
    fixture.answerRenewal("m1", {}, { { 1, CellFixture::runId("job", 0, 77), RunEnd::Stopped } });
    LONGS_EQUAL(1, fixture.takeStarts().size());
}

// Guards against jobs that run although they were cancelled: an offer that has waited for its grant comes after its cancel.
TEST(Takeover, AnOfferThatWasCancelledBeforeItArrivedStartsNothing)
{
    fixture.addMinion("m1");
    JobOffer offer = fixture.makeOffer("job", 1);
    offer.epoch = OwnerEpoch(9);
    fixture.cell().cancelled({ offer.cell, offer.job, offer.offerNumber }, DaemonId("entry-1"), fixture.now());
    fixture.offer(offer);
    LONGS_EQUAL(0, fixture.takeStarts().size());
    const std::vector<JobResult> ended = fixture.takeResults();
    LONGS_EQUAL(1, ended.size());
    CHECK(ended.front().end == JobEnd::Rejected);
    // The cancel is for that offer only.
    JobOffer again = offer;
    again.offerNumber = 700;
    fixture.offer(again);
    LONGS_EQUAL(1, fixture.takeStarts().size());
}

// Entries of earlier versions cancel an offer and make it again under the same number.
TEST(Takeover, AnOfferThatNamesNoGrantIsTakenUpAfterACancelOfItsNumber)
{
    fixture.addMinion("m1");
    const JobOffer again = takeover("job", 1);
    fixture.cell().cancelled({ again.cell, again.job, again.offerNumber }, DaemonId("entry-1"), fixture.now());
    fixture.offer(again);
    LONGS_EQUAL(1, fixture.takeStarts().size());
}

// Guards against a job that is stopped while its caller waits: an offer of its earlier submission was held up on the way.
TEST(Takeover, ALateOfferDoesntReplaceTheJobOfALaterSubmission)
{
    fixture.addMinion("m1");
    JobOffer late = fixture.makeOffer("job", 1);
    fixture.advance(absl::Seconds(1));
    JobOffer current = fixture.makeOffer("job", 1);
    current.offerNumber = 700;
    fixture.offer(current);
    LONGS_EQUAL(1, fixture.takeStarts().size());
    fixture.offer(late);
    LONGS_EQUAL(0, fixture.takeStops().size());
    LONGS_EQUAL(1, fixture.cell().jobCount());
    const std::vector<JobResult> ended = fixture.takeResults();
    LONGS_EQUAL(1, ended.size());
    LONGS_EQUAL(late.offerNumber, ended.front().offerNumber);
    CHECK(ended.front().end == JobEnd::GivenUp);
}

// A process loses its cell and gets it back while its earlier orders are being answered.
TEST(Takeover, AnAnswerToAnOrderOfAnEarlierGrantFencesNothing)
{
    fixture.reportMinion("m1");
    fixture.offer(takeover("job", 1));
    fixture.cell().answered(RenewResult { CellFixture::instance("m1"), OwnerEpoch(4), OrderFailure::None, 1, {}, {} }, fixture.now());
    fixture.advance(absl::Milliseconds(20));
    LONGS_EQUAL(0, fixture.takeStarts().size());
    fixture.answerRenewal("m1");
    LONGS_EQUAL(1, fixture.takeStarts().size());
}

TEST(Takeover, ARefusalOfAnEarlierGrantDoesNotEndTheLaterOne)
{
    fixture.addMinion("m1");
    fixture.cell().answered(StartResult { CellFixture::instance("m1"), OwnerEpoch(4), CellFixture::runId("old", 0, 7), OrderFailure::Fenced, 1 }, fixture.now());
    fixture.cell().answered(StopResult { CellFixture::instance("m1"), OwnerEpoch(4), CellFixture::runId("old", 0, 7), OrderFailure::Fenced, 1 }, fixture.now());
    CHECK_FALSE(fixture.cell().isSuperseded());
    fixture.offer("job", 1);
    LONGS_EQUAL(1, fixture.takeStarts().size());
}

// An entry is killed and restarts within a second; callers submit their jobs again, to it or to another entry.
TEST_GROUP(RestartedEntry)
{
    CellFixture fixture;

    void setup() override
    {
        fixture.addMinion("m1", 32000);
    }
};

TEST(RestartedEntry, TheJobsOfItsEarlierIncarnationAreStopped)
{
    fixture.offer("job", 1);
    fixture.answerStart(fixture.takeStarts().front());
    fixture.cell().entryHeartbeatReceived({ DaemonId("entry-1"), Incarnation(500) }, std::nullopt, fixture.now());
    fixture.advance(absl::Milliseconds(20));
    LONGS_EQUAL(1, fixture.takeStops().size());
    LONGS_EQUAL(0, fixture.cell().jobCount());
}

TEST(RestartedEntry, AResubmittedJobStartsOnlyAfterItsEarlierRunsHaveEnded)
{
    fixture.offer("job", 1);
    const StartOrder first = fixture.takeStarts().front();
    fixture.answerStart(first);
    JobOffer again = fixture.makeOffer("job", 1);
    again.offerNumber = 700;
    fixture.offer(again);
    LONGS_EQUAL(0, fixture.takeStarts().size());
    const std::vector<StopOrder> stops = fixture.takeStops();
    LONGS_EQUAL(1, stops.size());
    fixture.answerStop(stops.front());
    fixture.endRun(first, RunEnd::Stopped);
    LONGS_EQUAL(1, fixture.takeStarts().size());
}

// Guards against a caller that is told that nothing ran: its job is sent again and can't be served, while a run of the first
// submission is being stopped.
TEST(RestartedEntry, AResubmittedJobWhoseEarlierSubmissionRanIsNotRejectedAsNotRun)
{
    fixture.offer("job", 1);
    fixture.answerStart(fixture.takeStarts().front());
    JobOffer again = fixture.makeOffer("job", 1);
    again.offerNumber = 700;
    fixture.offer(again);
    fixture.takeResults();
    fixture.cell().cancelled({ again.cell, again.job, again.offerNumber }, DaemonId("entry-1"), fixture.now());
    fixture.advance(absl::Milliseconds(20));
    const std::vector<JobResult> ended = fixture.takeResults();
    LONGS_EQUAL(1, ended.size());
    LONGS_EQUAL(700, ended.front().offerNumber);
    CHECK(ended.front().end == JobEnd::GivenUp);
}

// Guards against tasks that run twice: a minion had restarted before its cell got a new owner, which knew the earlier
// instance only. It took the answer of the later one for the end of all runs there.
TEST(Takeover, RunsOnALaterInstanceThanTheKnownOneAreAwaited)
{
    fixture.addMinion("m1");
    fixture.reportMinion("m2");
    fixture.offer(takeover("job", 1));
    fixture.cell().answered(RenewResult { CellFixture::instance("m2"), OwnerEpoch(9), OrderFailure::OtherInstance, 1, {}, {}, MinionStartTime(5) }, fixture.now());
    fixture.advance(absl::Milliseconds(20));
    LONGS_EQUAL(0, fixture.takeStarts().size());
    // The later instance is asked, and lists the run.
    CHECK(fixture.takeRenewals().back().header.instance == CellFixture::instance("m2", 5));
    fixture.cell().answered(RenewResult { CellFixture::instance("m2", 5), OwnerEpoch(9), OrderFailure::None, 1, { { CellFixture::runId("job", 0, 77), 10 } }, {} }, fixture.now());
    fixture.advance(absl::Milliseconds(20));
    LONGS_EQUAL(0, fixture.takeStarts().size());
}

TEST(Takeover, ALaterInstanceGetsStartsOnlyOnceItHasReported)
{
    fixture.addMinion("m1");
    fixture.cell().answered(RenewResult { CellFixture::instance("m1"), OwnerEpoch(9), OrderFailure::OtherInstance, 1, {}, {}, MinionStartTime(5) }, fixture.now());
    fixture.cell().answered(RenewResult { CellFixture::instance("m1", 5), OwnerEpoch(9), OrderFailure::None, 1, {}, {} }, fixture.now());
    fixture.offer("early", 1);
    LONGS_EQUAL(0, fixture.takeStarts().size());
    // The later instance may be of another size.
    fixture.reportMinion("m1", 32000, 5);
    fixture.offer("wide", 4);
    LONGS_EQUAL(4, fixture.takeStarts().size());
}
