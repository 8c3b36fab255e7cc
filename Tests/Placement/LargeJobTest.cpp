#include "Placement/CellFixture.h"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace trefoilwing;

// Guards against one job that ends the owner of its cell by memory: the orders of all its tasks at once, each with a copy of
// the specification (review/10).
TEST_GROUP(LargeJob)
{
    static constexpr int64_t largeMinion = 700000;
    CellFixture fixture;

    std::vector<StartOrder> answerStarts(std::vector<StartOrder> starts)
    {
        for (const StartOrder& start : starts)
            fixture.answerStart(start);
        return starts;
    }
};

TEST(LargeJob, AllItsOrdersShareOneSpecification)
{
    fixture.addMinion("m1", largeMinion);
    fixture.offer("job", 3);
    const std::vector<StartOrder> starts = fixture.takeStarts();
    LONGS_EQUAL(3, starts.size());
    STRCMP_EQUAL("spec", starts.front().spec->c_str());
    CHECK(starts.front().spec == starts.back().spec);
}

TEST(LargeJob, OnlySoManyOfItsStartsAreInFlight)
{
    fixture.policy().maxStartsInFlight = 12;
    fixture.addMinion("m1", largeMinion);
    fixture.offer("job", 25);
    std::vector<StartOrder> inFlight = fixture.takeStarts();
    LONGS_EQUAL(9, inFlight.size());
    std::set<RunId> started;
    for (size_t answered = 0; answered < 25; ++answered) {
        const StartOrder next = inFlight.front();
        inFlight.erase(inFlight.begin());
        CHECK(started.insert(next.run).second);
        fixture.answerStart(next);
        for (const StartOrder& start : fixture.takeStarts())
            inFlight.push_back(start);
        CHECK(inFlight.size() <= 9);
    }
    CHECK(inFlight.empty());
}

// Guards against small jobs that wait behind all starts of a large one.
TEST(LargeJob, ALargeJobLeavesRoomForTheStartsOfSmallOnes)
{
    fixture.policy().maxStartsInFlightPerMinion = 8;
    fixture.addMinion("m1", largeMinion);
    fixture.addMinion("m2", largeMinion);
    fixture.offer("large", 50);
    LONGS_EQUAL(12, fixture.takeStarts().size());
    for (uint64_t number = 2; number <= 5; ++number) {
        JobOffer small = fixture.makeOffer("small-" + std::to_string(number), 1);
        small.offerNumber = number;
        fixture.offer(small);
        LONGS_EQUAL(1, fixture.takeStarts().size());
    }
}

TEST(LargeJob, UnansweredStartsMakeRoomToo)
{
    fixture.policy().maxStartsInFlight = 2;
    fixture.addMinion("m1", largeMinion);
    fixture.offer("job", 4);
    const std::vector<StartOrder> starts = fixture.takeStarts();
    LONGS_EQUAL(2, starts.size());
    for (const StartOrder& start : starts)
        fixture.answerStart(start, OrderFailure::NoRoom);
    fixture.answerRenewal("m1");
    LONGS_EQUAL(2, fixture.takeStarts().size());
}

TEST(LargeJob, OnlySoManyOfItsRunsAreInProgress)
{
    fixture.policy().maxRuns = 12;
    fixture.addMinion("m1", largeMinion);
    fixture.offer("job", 12);
    const std::vector<StartOrder> starts = answerStarts(fixture.takeStarts());
    LONGS_EQUAL(9, starts.size());
    fixture.advance(absl::Milliseconds(40));
    LONGS_EQUAL(0, fixture.takeStarts().size());
    std::vector<RunProgress> running;
    running.reserve(starts.size());
    for (const StartOrder& start : starts)
        running.push_back({ start.run, 10 });
    running.pop_back();
    fixture.answerRenewal("m1", running, { { 1, starts.back().run, RunEnd::Done } });
    LONGS_EQUAL(1, fixture.takeStarts().size());
}

TEST(LargeJob, JobsBeyondTheQueueLimitAreRejectedAsNotRun)
{
    fixture.policy().maxQueuedTasks = 20;
    fixture.addMinion("m1", 7000);
    JobOffer offer = fixture.makeOffer("first", 40);
    offer.untilLate = offer.untilTimeout = absl::Seconds(60);
    // A job that is larger than the limit itself can be queued alone.
    fixture.offer(offer);
    LONGS_EQUAL(0, fixture.takeResults().size());
    offer.job = JobKey("second");
    offer.offerNumber = 2;
    offer.taskCount = 1;
    fixture.offer(offer);
    const std::vector<JobResult> results = fixture.takeResults();
    LONGS_EQUAL(1, results.size());
    CHECK(results.front().end == JobEnd::Rejected);
    CHECK(results.front().retryAfter > absl::ZeroDuration());
}

// Guards against a task that is skipped because the search for the next one begins behind it.
TEST(LargeJob, ATaskThatIsQueuedAgainIsFoundAgain)
{
    fixture.policy().maxRuns = 3;
    fixture.addMinion("m1", largeMinion);
    fixture.offer("job", 4);
    const std::vector<StartOrder> starts = answerStarts(fixture.takeStarts());
    LONGS_EQUAL(3, starts.size());
    fixture.answerRenewal("m1", { { starts[1].run, 10 }, { starts[2].run, 10 } }, { { 1, starts.front().run, RunEnd::Failed } });
    const std::vector<StartOrder> again = fixture.takeStarts();
    LONGS_EQUAL(1, again.size());
    LONGS_EQUAL(0, again.front().run.task.value());
}
