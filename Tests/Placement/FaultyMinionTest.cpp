#include "Placement/CellFixture.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

// Minions fail tasks, hang, fall silent, carry out orders late, or restart.
TEST_GROUP(FaultyMinion)
{
    CellFixture fixture;

    StartOrder startOne(const std::string& job = "job")
    {
        fixture.offer(job, 1);
        return fixture.takeStarts().front();
    }
};

TEST(FaultyMinion, AFailedTaskIsRetriedOnAnotherMinion)
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
    CHECK(fixture.takeResults().front().end == JobEnd::Failed);
    LONGS_EQUAL(0, fixture.takeStarts().size());
}

TEST(FaultyMinion, AMinionThatFailsDifferentTasksIsEjected)
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

TEST(FaultyMinion, AnUnansweredStartIsStoppedBeforeTheTaskStartsElsewhere)
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
    fixture.advance(absl::Milliseconds(80));
    LONGS_EQUAL(1, fixture.takeStarts().size());
}

TEST(FaultyMinion, TasksOfAnUnreachableMinionRestartOnlyAfterItsLeaseExpired)
{
    fixture.addMinion("m1");
    const StartOrder first = startOne();
    fixture.answerStart(first);
    fixture.addMinion("m2");
    for (int i = 0; i < 3; ++i) {
        fixture.advance(absl::Milliseconds(100));
        if (!fixture.takeRenewals().empty())
            fixture.failRenewal("m1");
    }
    LONGS_EQUAL(0, fixture.takeStarts().size());
    for (int i = 0; i < 12; ++i) {
        fixture.advance(absl::Milliseconds(100));
        if (!fixture.takeRenewals().empty())
            fixture.failRenewal("m1");
    }
    const std::vector<StartOrder> second = fixture.takeStarts();
    LONGS_EQUAL(1, second.size());
    CHECK(second.front().header.instance.minion == MinionId("m2"));
}

TEST(FaultyMinion, AStalledRunIsStoppedAndRestartedElsewhere)
{
    fixture.addMinion("m1");
    const StartOrder first = startOne();
    fixture.answerStart(first);
    fixture.addMinion("m2");
    for (int i = 0; i < 6; ++i) {
        fixture.advance(absl::Milliseconds(100));
        fixture.answerRenewal("m1", { { first.run, 0 } });
    }
    const std::vector<StopOrder> stops = fixture.takeStops();
    CHECK_FALSE(stops.empty());
    fixture.answerStop(stops.front());
    fixture.advance(absl::Milliseconds(80));
    const std::vector<StartOrder> second = fixture.takeStarts();
    LONGS_EQUAL(1, second.size());
    CHECK(second.front().header.instance.minion == MinionId("m2"));
}

// A restarted minion keeps its id, so a start order sent to its earlier instance may be carried out by the new one.
// Guards against tasks that run twice: the new instance counts its lease from a new clock, so that it holds the run for its
// longest lease of 1 s, not for that of the order (review, reborn).
TEST(FaultyMinion, AStartThatMayHaveReachedANewInstanceDelaysItsTaskUntilTheLeaseExpires)
{
    fixture.addMinion("m1");
    fixture.addMinion("m2");
    const StartOrder first = startOne();
    fixture.answerStart(first);
    fixture.cell().answered(RenewResult { first.header.instance, first.header.epoch, OrderFailure::OtherInstance, 0, {}, {} }, fixture.now());
    fixture.advance(absl::Milliseconds(1020));
    LONGS_EQUAL(0, fixture.takeStarts().size());
    fixture.advance(absl::Milliseconds(200));
    LONGS_EQUAL(1, fixture.takeStarts().size());
}

// Guards against the same by a start that was sent twice: the earlier instance listed the run, and the repeated order
// reaches the new one.
TEST(FaultyMinion, ARepeatedStartThatMayReachANewInstanceDelaysItsTask)
{
    fixture.addMinion("m1");
    fixture.addMinion("m2");
    const StartOrder first = startOne();
    fixture.advance(absl::Milliseconds(100));
    LONGS_EQUAL(1, fixture.takeRepeatedStarts().size());
    fixture.answerStart(first);
    fixture.answerRenewal(first.header.instance.minion.value(), { { first.run, 5 } });
    fixture.cell().answered(RenewResult { first.header.instance, first.header.epoch, OrderFailure::OtherInstance, 0, {}, {} }, fixture.now());
    fixture.advance(absl::Milliseconds(1020));
    LONGS_EQUAL(0, fixture.takeStarts().size());
    fixture.advance(absl::Milliseconds(200));
    LONGS_EQUAL(1, fixture.takeStarts().size());
}

TEST(FaultyMinion, ARunThatTheEarlierInstanceListedRestartsElsewhereAtOnce)
{
    fixture.addMinion("m1");
    fixture.addMinion("m2");
    const StartOrder first = startOne();
    fixture.answerStart(first);
    fixture.advance(absl::Milliseconds(20));
    const std::string minion = first.header.instance.minion.value();
    fixture.answerRenewal(minion, { { first.run, 5 } });
    fixture.cell().answered(RenewResult { first.header.instance, first.header.epoch, OrderFailure::OtherInstance, 0, {}, {} }, fixture.now());
    fixture.advance(absl::Milliseconds(20));
    LONGS_EQUAL(1, fixture.takeStarts().size());
}

TEST(FaultyMinion, ALeavingMinionGetsNoNewRuns)
{
    fixture.addMinion("m1");
    fixture.reportMinion("m1", 16000, 1, MinionState::Leaving);
    fixture.offer("job", 1);
    LONGS_EQUAL(0, fixture.takeStarts().size());
}

TEST(FaultyMinion, EndedRunsAreAcknowledgedSoonOnAnIdleMinion)
{
    fixture.addMinion("m1");
    const StartOrder first = startOne();
    fixture.endRun(first, RunEnd::Done);
    fixture.takeRenewals();
    fixture.advance(absl::Milliseconds(100));
    const std::vector<RenewOrder> renewals = fixture.takeRenewals();
    LONGS_EQUAL(1, renewals.size());
    LONGS_EQUAL(1, renewals.front().lastEndNumber);
}

// Workers leave a share of their orders unanswered: a short task whose start is lost is late before the order times out.
TEST(FaultyMinion, AStartWithoutAnAnswerIsRepeatedUnderItsNumber)
{
    fixture.addMinion("m1");
    const StartOrder first = startOne();
    fixture.advance(absl::Milliseconds(40));
    LONGS_EQUAL(0, fixture.takeRepeatedStarts().size());
    fixture.advance(absl::Milliseconds(40));
    const std::vector<StartOrder> repeated = fixture.takeRepeatedStarts();
    LONGS_EQUAL(1, repeated.size());
    CHECK(repeated.front().run == first.run);
    LONGS_EQUAL(first.leaseEndMs, repeated.front().leaseEndMs);
    fixture.answerStart(repeated.front());
    fixture.answerStart(first, OrderFailure::NoAnswer);
    fixture.advance(absl::Milliseconds(100));
    LONGS_EQUAL(0, fixture.takeStops().size());
    LONGS_EQUAL(0, fixture.takeStarts().size());
    LONGS_EQUAL(0, fixture.takeRepeatedStarts().size());
}

// The run of the first order may have ended before the second one arrived, which the minion then refuses as old.
TEST(FaultyMinion, ARepeatedStartThatIsRefusedIsNotStartedElsewhereBeforeItIsStopped)
{
    fixture.addMinion("m1");
    fixture.addMinion("m2");
    for (const OrderFailure failure : { OrderFailure::OldRun, OrderFailure::NoRoom, OrderFailure::LeaseEnded, OrderFailure::Refused, OrderFailure::NotSent }) {
        const StartOrder first = startOne("job" + std::to_string(static_cast<int>(failure)));
        fixture.advance(absl::Milliseconds(80));
        const std::vector<StartOrder> repeated = fixture.takeRepeatedStarts();
        LONGS_EQUAL(1, repeated.size());
        fixture.answerStart(repeated.front(), failure);
        LONGS_EQUAL(0, fixture.takeStarts().size());
        LONGS_EQUAL(0, fixture.takeStops().size());
        fixture.answerStart(first, OrderFailure::NoAnswer);
        LONGS_EQUAL(0, fixture.takeStarts().size());
        CHECK_FALSE(fixture.takeStops().empty());
        fixture.endRun(first, RunEnd::Done);
        CHECK(fixture.takeResults().front().end == JobEnd::Completed);
        LONGS_EQUAL(0, fixture.takeStarts().size());
    }
}

// Guards against work that is repeated since this process, not the minion, was late.
TEST(FaultyMinion, AProcessThatStoodStillRepeatsNothingAtOnce)
{
    fixture.addMinion("m1");
    startOne();
    fixture.advance(absl::Milliseconds(20));
    fixture.pause(absl::Milliseconds(100));
    LONGS_EQUAL(0, fixture.takeRepeatedStarts().size());
    fixture.advance(absl::Milliseconds(60));
    LONGS_EQUAL(1, fixture.takeRepeatedStarts().size());
}
