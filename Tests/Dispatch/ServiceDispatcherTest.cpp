#include "Dispatch/ServiceDispatcher.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

TEST_GROUP(ServiceDispatcher)
{
    const MinionId m1 { "m1" };
    const MinionId m2 { "m2" };
    const TaskKindId price { "price" };
    absl::Time now = absl::FromUnixSeconds(1000);
    ServiceDispatcher dispatcher { ServiceId("follow-up") };

    Submission submission(size_t tasks, bool isIdempotent = false)
    {
        Submission made;
        made.id = { ServiceId("follow-up"), BackerId("shop-7"), CallerKey("q1") };
        made.tasks.assign(tasks, TaskSpec { price, "payload" });
        made.deadline = now + absl::Seconds(10);
        made.isIdempotent = isIdempotent;
        return made;
    }

    /// Grants slots and returns the starts that follow.
    std::vector<TaskStart> grant(JobNumber job, const MinionId& minion, uint32_t slots)
    {
        dispatcher.applyGrant({ job, price, minion, SlotCount(slots) }, now);
        effects = dispatcher.takeEffects();
        return effects.starts.contains(minion) ? effects.starts.at(minion) : std::vector<TaskStart>();
    }

    void answer(const MinionId& minion, const TaskStart& start, StartReply reply)
    {
        dispatcher.startsAnswered(minion, { { start.attempt, reply } }, now);
        effects = dispatcher.takeEffects();
    }

    void finish(const MinionId& minion, const TaskStart& start, TaskStatus status = TaskStatus::Succeeded)
    {
        dispatcher.resultsPosted(minion, { { start.attempt, start.task, status, "out" + std::to_string(start.task.index.value()), absl::Milliseconds(50) } }, now);
        effects = dispatcher.takeEffects();
    }

    const Error& onlyError()
    {
        LONGS_EQUAL(1, effects.decided.size());
        CHECK(errorOf(effects.decided[0].outcome));
        return *errorOf(effects.decided[0].outcome);
    }

    DispatchEffects effects;
};

TEST(ServiceDispatcher, AJobIsAnsweredWholeAndInTheOrderOfItsTasks)
{
    const JobNumber job = dispatcher.accept(submission(2), now);
    const auto starts = grant(job, m1, 2);
    LONGS_EQUAL(2, starts.size());
    finish(m1, starts[1]);
    CHECK(effects.decided.empty());
    finish(m1, starts[0]);
    LONGS_EQUAL(1, effects.decided.size());
    const JobAnswer* answer = valueOf(effects.decided[0].outcome);
    CHECK(answer);
    STRCMP_EQUAL("out0", answer->outputs[0].c_str());
    STRCMP_EQUAL("out1", answer->outputs[1].c_str());
}

TEST(ServiceDispatcher, ARefusedTaskWaitsAgainAndItsSlotIsReported)
{
    const JobNumber job = dispatcher.accept(submission(1), now);
    const auto starts = grant(job, m1, 1);
    answer(m1, starts[0], StartReply::RefusedBusy);
    LONGS_EQUAL(1, effects.demands.size());
    LONGS_EQUAL(1, effects.demands[0].waiting.at(price));
    CHECK(effects.demands[0].hasStarted);
    LONGS_EQUAL(1, effects.reports.size());
    CHECK(effects.reports[0].ending == SlotEnding::RefusedBusy);
    LONGS_EQUAL(1, grant(job, m2, 1).size());
}

TEST(ServiceDispatcher, NoTaskOfASubmissionStartsAgainAfterItsMinionIsLost)
{
    const JobNumber job = dispatcher.accept(submission(2), now);
    const auto starts = grant(job, m1, 1);
    answer(m1, starts[0], StartReply::Started);
    dispatcher.minionRemoved(m1, now);
    effects = dispatcher.takeEffects();
    CHECK(onlyError().verdict == Verdict::MayHaveRun);
    CHECK(grant(job, m2, 2).empty());
    LONGS_EQUAL(2, std::count_if(effects.reports.begin(), effects.reports.end(), [](const SlotReport& report) { return report.ending == SlotEnding::Returned; }));
}

TEST(ServiceDispatcher, AnIdempotentRequestIsRetriedElsewhereALimitedNumberOfTimes)
{
    const JobNumber job = dispatcher.accept(submission(1, true), now);
    for (int attempt = 0; attempt < 2; ++attempt) {
        const MinionId minion("r" + std::to_string(attempt));
        const auto starts = grant(job, minion, 1);
        LONGS_EQUAL(1, starts.size());
        finish(minion, starts[0], TaskStatus::Failed);
        CHECK(effects.decided.empty());
        LONGS_EQUAL(attempt + 1, effects.demands.at(0).excluded.size());
    }
    const auto last = grant(job, m2, 1);
    finish(m2, last[0], TaskStatus::Failed);
    CHECK(onlyError().code == ErrorCode::TaskFailed);
}

TEST(ServiceDispatcher, ALostAnswerIsFencedBeforeTheTaskIsSentElsewhere)
{
    const JobNumber job = dispatcher.accept(submission(1), now);
    const auto starts = grant(job, m1, 1);
    answer(m1, starts[0], StartReply::Unknown);
    LONGS_EQUAL(1, effects.cancels.at(m1).size());
    CHECK(grant(job, m2, 1).empty());
    dispatcher.cancelsAnswered(m1, { { starts[0].attempt, CancelReply::Fenced } }, now);
    dispatcher.takeEffects();
    LONGS_EQUAL(1, grant(job, m2, 1).size());
}

TEST(ServiceDispatcher, LateDuplicateAndMismatchedResultsAreIgnored)
{
    const JobNumber job = dispatcher.accept(submission(2), now);
    const auto starts = grant(job, m1, 2);
    TaskStart mismatched = starts[0];
    mismatched.task.index = starts[1].task.index;
    finish(m1, mismatched);
    finish(m2, starts[0]);
    CHECK(effects.decided.empty());
    finish(m1, starts[0]);
    finish(m1, starts[0]);
    CHECK(effects.decided.empty());
    finish(m1, starts[1]);
    CHECK(valueOf(effects.decided.at(0).outcome));
}

TEST(ServiceDispatcher, AJobThatNeverStartedEndsAsNotRunAtItsDeadline)
{
    dispatcher.accept(submission(3), now);
    dispatcher.takeEffects();
    now = dispatcher.nextWakeup();
    dispatcher.tick(now);
    effects = dispatcher.takeEffects();
    CHECK(onlyError().verdict == Verdict::NotRun);
    CHECK(onlyError().code == ErrorCode::PastDeadline);
}

TEST(ServiceDispatcher, AJobWithAnOpenStartEndsAsMayHaveRunAtItsDeadline)
{
    const JobNumber job = dispatcher.accept(submission(3), now);
    grant(job, m1, 1);
    now = dispatcher.nextWakeup();
    dispatcher.tick(now);
    effects = dispatcher.takeEffects();
    CHECK(onlyError().verdict == Verdict::MayHaveRun);
}

TEST(ServiceDispatcher, ARejectionOfAStartedJobIsIgnored)
{
    const JobNumber job = dispatcher.accept(submission(2), now);
    grant(job, m1, 1);
    dispatcher.applyRejection({ job, Error { ErrorCode::Overloaded, "busy", Verdict::NotRun } }, now);
    CHECK(dispatcher.takeEffects().decided.empty());
}

TEST(ServiceDispatcher, HeldSlotsAreThoseOfOpenAttempts)
{
    const JobNumber job = dispatcher.accept(submission(3), now);
    const auto starts = grant(job, m1, 2);
    grant(job, m2, 1);
    finish(m1, starts[0]);
    LONGS_EQUAL(1, dispatcher.heldSlots().at(m1));
    LONGS_EQUAL(1, dispatcher.heldSlots().at(m2));
}

TEST(ServiceDispatcher, AMassCancellationLeavesOtherJobsRunning)
{
    std::vector<JobNumber> jobs;
    jobs.reserve(10000);
    for (int i = 0; i < 10000; ++i)
        jobs.push_back(dispatcher.accept(submission(1), now));
    const auto running = grant(jobs[9999], m1, 1);
    for (int i = 0; i < 9999; ++i)
        dispatcher.cancel(jobs[i], now);
    effects = dispatcher.takeEffects();
    LONGS_EQUAL(9999, effects.decided.size());
    CHECK(effects.cancels.empty());
    LONGS_EQUAL(1, dispatcher.jobCount());
    finish(m1, running[0]);
    CHECK(valueOf(effects.decided.at(0).outcome));
}
