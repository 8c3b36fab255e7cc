#include "Placement/CellFixture.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

// Pattern: minions that fail, hang, fall silent, carry orders out late, or start again.
TEST_GROUP(FaultyMinion)
{
    CellFixture fixture;

    StartOrder startOne(const std::string& job = "job")
    {
        fixture.offer(job, 1);
        return fixture.takeStarts().front();
    }
};

TEST(FaultyMinion, AFailedTaskIsTriedOnAnotherMinion)
{
    fixture.addMinion("m1");
    fixture.addMinion("m2");
    const StartOrder first = startOne();
    fixture.endRun(first, RunEnd::Failed);
    const std::vector<StartOrder> second = fixture.takeStarts();
    LONGS_EQUAL(1, second.size());
    CHECK(second.front().header.instance.minion != first.header.instance.minion);
    CHECK(second.front().run.number > first.run.number);
}

TEST(FaultyMinion, ATaskThatFailedAsOftenAsAllowedFailsItsJob)
{
    fixture.addMinion("m1");
    fixture.addMinion("m2");
    fixture.endRun(startOne(), RunEnd::Failed);
    fixture.endRun(fixture.takeStarts().front(), RunEnd::Failed);
    CHECK(fixture.takeEnded().front().end == JobEnd::Failed);
    LONGS_EQUAL(0, fixture.takeStarts().size());
}

TEST(FaultyMinion, AMinionThatFailsDifferentTasksIsLeftAloneForAWhile)
{
    fixture.addMinion("m1");
    fixture.offer("a", 1);
    fixture.offer("b", 1);
    for (const StartOrder& start : fixture.takeStarts())
        fixture.endRun(start, RunEnd::Failed);
    fixture.takeStarts();
    fixture.offer("c", 1);
    LONGS_EQUAL(0, fixture.takeStarts().size());
}

TEST(FaultyMinion, AStartWithoutAnAnswerIsMadeImpossibleBeforeTheTaskStartsElsewhere)
{
    fixture.addMinion("m1");
    fixture.addMinion("m2");
    const StartOrder first = startOne();
    fixture.answerStart(first, OrderFailure::NoAnswer);
    LONGS_EQUAL(0, fixture.takeStarts().size());
    const std::vector<StopOrder> stops = fixture.takeStops();
    LONGS_EQUAL(1, stops.size());
    fixture.answerStop(stops.front());
    LONGS_EQUAL(0, fixture.takeStarts().size());
    fixture.pass(absl::Milliseconds(80));
    LONGS_EQUAL(1, fixture.takeStarts().size());
}

TEST(FaultyMinion, AnUnreachableMinionsRunsStartElsewhereOnlyAfterItsLease)
{
    fixture.addMinion("m1");
    const StartOrder first = startOne();
    fixture.answerStart(first);
    fixture.addMinion("m2");
    for (int i = 0; i < 3; ++i) {
        fixture.pass(absl::Milliseconds(100));
        if (!fixture.takeHolds().empty())
            fixture.failHold("m1");
    }
    LONGS_EQUAL(0, fixture.takeStarts().size());
    for (int i = 0; i < 12; ++i) {
        fixture.pass(absl::Milliseconds(100));
        if (!fixture.takeHolds().empty())
            fixture.failHold("m1");
    }
    const std::vector<StartOrder> second = fixture.takeStarts();
    LONGS_EQUAL(1, second.size());
    CHECK(second.front().header.instance.minion == MinionId("m2"));
}

TEST(FaultyMinion, ARunWhoseProgressStandsStillIsStoppedAndStartedElsewhere)
{
    fixture.addMinion("m1");
    const StartOrder first = startOne();
    fixture.answerStart(first);
    fixture.addMinion("m2");
    for (int i = 0; i < 6; ++i) {
        fixture.pass(absl::Milliseconds(100));
        fixture.answerHold("m1", { { first.run, 0 } });
    }
    const std::vector<StopOrder> stops = fixture.takeStops();
    CHECK_FALSE(stops.empty());
    fixture.answerStop(stops.front());
    fixture.pass(absl::Milliseconds(80));
    const std::vector<StartOrder> second = fixture.takeStarts();
    LONGS_EQUAL(1, second.size());
    CHECK(second.front().header.instance.minion == MinionId("m2"));
}

// A minion that starts again keeps its id, so a start that was meant for its earlier life may run in the new one.
TEST(FaultyMinion, AStartThatMayHaveReachedANewLifeHoldsItsTaskBackForALease)
{
    fixture.addMinion("m1");
    fixture.addMinion("m2");
    const StartOrder first = startOne();
    fixture.answerStart(first);
    fixture.cell().answered(RenewResult { first.header.instance, OrderFailure::OtherInstance, 0, {}, {} }, fixture.now());
    fixture.pass(absl::Milliseconds(20));
    LONGS_EQUAL(0, fixture.takeStarts().size());
    fixture.pass(absl::Milliseconds(900));
    LONGS_EQUAL(1, fixture.takeStarts().size());
}

TEST(FaultyMinion, ARunThatTheEarlierLifeListedStartsElsewhereAtOnce)
{
    fixture.addMinion("m1");
    fixture.addMinion("m2");
    const StartOrder first = startOne();
    fixture.answerStart(first);
    fixture.pass(absl::Milliseconds(20));
    const std::string minion = first.header.instance.minion.value();
    fixture.answerHold(minion, { { first.run, 5 } });
    fixture.cell().answered(RenewResult { first.header.instance, OrderFailure::OtherInstance, 0, {}, {} }, fixture.now());
    fixture.pass(absl::Milliseconds(20));
    LONGS_EQUAL(1, fixture.takeStarts().size());
}

TEST(FaultyMinion, ALeavingMinionGetsNothingNew)
{
    fixture.addMinion("m1");
    fixture.reportMinion("m1", 16000, 1, MinionState::Leaving);
    fixture.offer("job", 1);
    LONGS_EQUAL(0, fixture.takeStarts().size());
}

TEST(FaultyMinion, EndsAreAcknowledgedSoonAlsoWhenNothingRuns)
{
    fixture.addMinion("m1");
    const StartOrder first = startOne();
    fixture.endRun(first, RunEnd::Done);
    fixture.takeHolds();
    fixture.pass(absl::Milliseconds(100));
    const std::vector<RenewOrder> holds = fixture.takeHolds();
    LONGS_EQUAL(1, holds.size());
    LONGS_EQUAL(1, holds.front().lastEndNumber);
}
