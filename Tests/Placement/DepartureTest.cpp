#include "Placement/CellFixture.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

// Minions leave. A keeper has received the message of one that it leaves, but that is no proof that it has ended: without an
// answer it is up, and its tasks run, for some seconds more.
TEST_GROUP(Departure)
{
    CellFixture fixture { 9 };

    /// Lets a minion say that it ends.
    void leave(const std::string& id)
    {
        fixture.reportMinion(id, 16000, 1, MinionState::Leaving, true);
    }

    JobOffer patientOffer(const std::string& job)
    {
        JobOffer offer = fixture.makeOffer(job, 1);
        offer.untilLate = absl::Seconds(5);
        offer.untilTimeout = absl::Seconds(9);
        return offer;
    }

    /// Starts a task on m1, whose lease is extended once, and adds m2.
    StartOrder startTask()
    {
        fixture.addMinion("m1");
        fixture.offer(patientOffer("job"));
        StartOrder start = fixture.takeStarts().front();
        fixture.answerStart(start);
        fixture.answerRenewal("m1", { { start.run, 10 } });
        fixture.addMinion("m2");
        return start;
    }
};

// Guards against tasks that run twice at the same time: those of a minion that left were started elsewhere at once (review/12).
TEST(Departure, TheTasksOfAMinionThatDoesntAnswerWaitForTheEndOfItsLease)
{
    const StartOrder start = startTask();
    leave("m1");
    LONGS_EQUAL(0, fixture.takeStarts().size());
    const std::vector<StopOrder> stops = fixture.takeStops();
    LONGS_EQUAL(1, stops.size());
    CHECK(stops.front().run == start.run);
    fixture.failRenewal("m1");
    fixture.answerStop(stops.front(), OrderFailure::NoAnswer);
    fixture.advance(absl::Milliseconds(780));
    LONGS_EQUAL(0, fixture.takeStarts().size());
    fixture.advance(absl::Milliseconds(60));
    const std::vector<StartOrder> starts = fixture.takeStarts();
    LONGS_EQUAL(1, starts.size());
    STRCMP_EQUAL("m2", starts.front().header.instance.minion.value().c_str());
}

TEST(Departure, AnAnsweredStopShortensTheWait)
{
    startTask();
    leave("m1");
    fixture.answerStop(fixture.takeStops().front());
    fixture.advance(absl::Milliseconds(80));
    LONGS_EQUAL(1, fixture.takeStarts().size());
}

TEST(Departure, TheEndOfARunThatTheMinionListsShortensTheWait)
{
    const StartOrder start = startTask();
    leave("m1");
    fixture.endRun(start, RunEnd::Stopped);
    LONGS_EQUAL(1, fixture.takeStarts().size());
}

TEST(Departure, TheLeaseOfAMinionThatLeftIsntExtended)
{
    const StartOrder start = startTask();
    leave("m1");
    fixture.takeRenewals();
    fixture.answerRenewal("m1", { { start.run, 10 } });
    fixture.advance(absl::Milliseconds(300));
    const std::vector<RenewOrder> renewals = fixture.takeRenewals();
    CHECK_FALSE(renewals.empty());
    for (const RenewOrder& renewal : renewals)
        LONGS_EQUAL(0, renewal.leaseEndMs);
}

TEST(Departure, AMinionThatRunsNothingIsRemovedAtOnce)
{
    fixture.addMinion("m1");
    fixture.addMinion("m2");
    leave("m2");
    LONGS_EQUAL(1, fixture.cell().minionCount());
    JobOffer takeover = patientOffer("job");
    takeover.isTakeover = true;
    fixture.offer(takeover);
    LONGS_EQUAL(1, fixture.takeStarts().size());
}

TEST(Departure, AMinionThatLeftGetsNoStarts)
{
    startTask();
    leave("m1");
    leave("m2");
    fixture.offer(patientOffer("other"));
    fixture.advance(absl::Milliseconds(100));
    LONGS_EQUAL(0, fixture.takeStarts().size());
}

// Guards against new owners that take a minion which has just left for one that has ended.
TEST(Departure, ANewOwnerWaitsForTheAnswerOfAMinionThatHasJustLeft)
{
    fixture.addMinion("m1");
    leave("m2");
    JobOffer takeover = patientOffer("job");
    takeover.isTakeover = true;
    fixture.offer(takeover);
    fixture.advance(absl::Milliseconds(100));
    LONGS_EQUAL(0, fixture.takeStarts().size());
    // The earlier owner's run is adopted, and starts again when it has ended.
    const RunId run = CellFixture::runId("job", 0, 77);
    fixture.answerRenewal("m2", { { run, 10 } });
    LONGS_EQUAL(0, fixture.takeStarts().size());
    fixture.advance(absl::Milliseconds(60));
    fixture.answerRenewal("m2", {}, { { 1, run, RunEnd::LeaseExpired } });
    fixture.advance(absl::Milliseconds(20));
    LONGS_EQUAL(1, fixture.takeStarts().size());
    LONGS_EQUAL(1, fixture.cell().minionCount());
}

TEST(Departure, AMinionThatTheKeepersHaveForgottenDelaysNoTakeover)
{
    fixture.addMinion("m1");
    leave("m2");
    fixture.cell().minionForgotten(CellFixture::instance("m2"), fixture.now());
    LONGS_EQUAL(1, fixture.cell().minionCount());
}

// Keepers of earlier versions say only that a minion is gone.
TEST(Departure, AMinionThatIsGoneWithoutAWordIsTakenForOneThatMayBeUp)
{
    startTask();
    fixture.cell().minionForgotten(CellFixture::instance("m1"), fixture.now());
    fixture.advance(absl::Milliseconds(20));
    LONGS_EQUAL(0, fixture.takeStarts().size());
    fixture.answerStop(fixture.takeStops().front());
    fixture.advance(absl::Milliseconds(80));
    LONGS_EQUAL(1, fixture.takeStarts().size());
}

TEST(Departure, TheTasksOfAMinionThatWasReplacedStartElsewhereAtOnce)
{
    startTask();
    fixture.cell().minionEnded(CellFixture::instance("m1"), fixture.now());
    fixture.advance(absl::Milliseconds(20));
    LONGS_EQUAL(1, fixture.takeStarts().size());
}
