#include "Placement/CellFixture.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

// Pattern: the owner of a cell goes while its minions run its jobs, and another entry takes over.
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

TEST(Takeover, ARunOfTheEarlierOwnerIsAdoptedAndNotStartedAgain)
{
    fixture.reportMinion("m1");
    fixture.offer(takeover("job", 1));
    fixture.answerHold("m1", { { CellFixture::runId("job", 0, 77), 10 } });
    LONGS_EQUAL(0, fixture.takeStarts().size());
    fixture.pass(absl::Milliseconds(40));
    fixture.answerHold("m1", {}, { { 1, CellFixture::runId("job", 0, 77), RunEnd::Done } });
    const std::vector<JobResult> ended = fixture.takeEnded();
    LONGS_EQUAL(1, ended.size());
    CHECK(ended.front().end == JobEnd::Completed);
    LONGS_EQUAL(0, fixture.takeStarts().size());
}

TEST(Takeover, ARunThatIsListedBeforeItsJobIsOfferedIsAdopted)
{
    fixture.reportMinion("m1");
    fixture.answerHold("m1", { { CellFixture::runId("job", 0, 77), 10 } });
    fixture.offer(takeover("job", 2));
    const std::vector<StartOrder> starts = fixture.takeStarts();
    LONGS_EQUAL(1, starts.size());
    LONGS_EQUAL(1, starts.front().run.task.value());
}

TEST(Takeover, NothingStartsAnewBeforeAllMinionsAreFenced)
{
    fixture.addMinion("m1");
    fixture.reportMinion("m2");
    fixture.offer(takeover("job", 1));
    LONGS_EQUAL(0, fixture.takeStarts().size());
    fixture.answerHold("m2");
    LONGS_EQUAL(1, fixture.takeStarts().size());
}

// A restarted entry was granted a cell before it knew the minions, and started tasks that still ran there.
TEST(Takeover, NothingStartsAnewWhileTheMinionsAreNotAllKnown)
{
    fixture.cell().minionsKnown(false);
    fixture.addMinion("m1");
    fixture.offer(takeover("job", 1));
    LONGS_EQUAL(0, fixture.takeStarts().size());
    fixture.cell().minionsKnown(true);
    fixture.pass(absl::Milliseconds(20));
    LONGS_EQUAL(1, fixture.takeStarts().size());
}

// Pattern: a caller comes back with the id of a job that an earlier owner began, before the new one has seen its runs.
TEST(Takeover, AJobThatComesAgainWaitsForTheFirstLooks)
{
    fixture.addMinion("m1");
    fixture.reportMinion("m2");
    fixture.offer("job", 1);
    LONGS_EQUAL(0, fixture.takeStarts().size());
    fixture.answerHold("m2", { { CellFixture::runId("job", 0, 77), 10 } });
    LONGS_EQUAL(0, fixture.takeStarts().size());
    fixture.pass(absl::Milliseconds(60));
    fixture.answerHold("m2", {}, { { 1, CellFixture::runId("job", 0, 77), RunEnd::Stopped } });
    LONGS_EQUAL(1, fixture.takeStarts().size());
}

TEST(Takeover, AMinionThatDoesntAnswerHoldsNewJobsUpOnlyForAMoment)
{
    fixture.addMinion("m1");
    fixture.reportMinion("m2");
    fixture.offer("job", 1);
    fixture.pass(absl::Milliseconds(160));
    LONGS_EQUAL(0, fixture.takeStarts().size());
    fixture.pass(absl::Milliseconds(60));
    LONGS_EQUAL(1, fixture.takeStarts().size());
}

TEST(Takeover, AfterTheLongestLeaseTheMissingMinionsRunNothingAnyMore)
{
    fixture.cell().minionsKnown(false);
    fixture.addMinion("m1");
    JobOffer patient = takeover("job", 1);
    patient.untilLate = absl::Seconds(5);
    patient.untilTimeout = absl::Seconds(9);
    fixture.offer(patient);
    fixture.pass(absl::Milliseconds(1600));
    LONGS_EQUAL(0, fixture.takeStarts().size());
    fixture.pass(absl::Milliseconds(200));
    LONGS_EQUAL(1, fixture.takeStarts().size());
}

TEST(Takeover, AJobThatMayHaveBegunIsNeverTurnedDown)
{
    // No minion is usable, so a new job would be turned down at once.
    fixture.reportMinion("m1");
    fixture.offer(takeover("job", 1));
    LONGS_EQUAL(0, fixture.takeEnded().size());
    fixture.pass(absl::Seconds(3));
    const std::vector<JobResult> ended = fixture.takeEnded();
    LONGS_EQUAL(1, ended.size());
    CHECK(ended.front().end == JobEnd::GivenUp);
}

// Pattern: a job is shared by several cells, and the owner of one goes.
TEST(Takeover, APartOfAJobKeepsItsTaskNumbers)
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
    CHECK(fixture.takeEnded().front().end == JobEnd::Completed);
}

TEST(Takeover, RunsThatNobodyOffersAgainAreStopped)
{
    fixture.reportMinion("m1");
    fixture.answerHold("m1", { { CellFixture::runId("orphan", 0, 77), 10 } });
    fixture.pass(absl::Milliseconds(500));
    LONGS_EQUAL(0, fixture.takeStops().size());
    fixture.pass(absl::Milliseconds(200));
    CHECK_FALSE(fixture.takeStops().empty());
}

TEST(Takeover, AnOwnerThatIsFencedOrdersNothingMore)
{
    fixture.addMinion("m1");
    fixture.offer("job", 1);
    fixture.answerStart(fixture.takeStarts().front(), OrderFailure::Fenced);
    CHECK(fixture.cell().isSuperseded());
    fixture.takeHolds();
    fixture.offer("next", 1);
    fixture.pass(absl::Milliseconds(500));
    LONGS_EQUAL(0, fixture.takeStarts().size());
    LONGS_EQUAL(0, fixture.takeHolds().size());
}

// Pattern: an entry is killed and is back within a second; its callers' jobs come again, to it or to another entry.
TEST_GROUP(RestartedEntry)
{
    CellFixture fixture;

    void setup() override
    {
        fixture.addMinion("m1", 32000);
    }
};

TEST(RestartedEntry, TheJobsOfItsEarlierRunAreStopped)
{
    fixture.offer("job", 1);
    fixture.answerStart(fixture.takeStarts().front());
    fixture.cell().entryHeard({ DaemonId("entry-1"), Incarnation(500) }, fixture.now());
    fixture.pass(absl::Milliseconds(20));
    LONGS_EQUAL(1, fixture.takeStops().size());
    LONGS_EQUAL(0, fixture.cell().jobCount());
}

TEST(RestartedEntry, AJobThatComesAgainStartsOnlyWhenItsEarlierRunsAreGone)
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
