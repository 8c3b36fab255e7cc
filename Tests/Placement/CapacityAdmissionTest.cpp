#include "Placement/BurstLoad.h"
#include "Placement/CapacityModel.h"
#include "Placement/CellFixture.h"
#include "Placement/RetrySchedule.h"

#include <CppUTest/TestHarness.h>
#include <cstdlib>

using namespace trefoilwing;

namespace {

JobOffer offerOf(int64_t milliCores, absl::Duration estimate, uint32_t priority)
{
    JobOffer offer;
    offer.need = { milliCores, 64, 0 };
    offer.taskCount = 2;
    offer.estimate = estimate;
    offer.untilLate = 1.6 * estimate + absl::Milliseconds(60);
    offer.untilTimeout = absl::Milliseconds(1500);
    offer.priority = priority;
    return offer;
}

BurstOutcome playBurst(AdmissionRule rule)
{
    constexpr int minions = 20;
    BurstOutcome sum;
    for (const uint64_t seed : { 1, 2, 3 }) {
        BurstLoad load(rule, minions, seed);
        load.offerFor(absl::Seconds(2), 0.6);
        load.offerFor(absl::Seconds(4), 2.2);
        load.offerFor(absl::Seconds(2), 0.6);
        const BurstOutcome outcome = load.finish();
        sum.offered += outcome.offered;
        sum.inTime += outcome.inTime;
        sum.rejectedAtOnce += outcome.rejectedAtOnce;
        sum.rejectedAfterWaiting += outcome.rejectedAfterWaiting;
        sum.rejectedWithRoom += outcome.rejectedWithRoom;
    }
    return sum;
}

} // namespace

// A burst of 2.2 times the capacity, of mixed priorities, on minions of 32 and 48 cores with tasks of 16 cores, plus or
// minus a fifth. Fails if admission lets jobs wait that it could have rejected, or rejects what could have been served.
TEST_GROUP(CapacityAdmissionBurst) {};

TEST(CapacityAdmissionBurst, MoreJobsEndInTimeAndFewerAreRejectedAfterWaiting)
{
    const BurstOutcome average = playBurst(AdmissionRule::AverageWait);
    const BurstOutcome capacity = playBurst(AdmissionRule::Capacity);
    LONGS_EQUAL(average.offered, capacity.offered);
    CHECK(capacity.inTime > average.inTime);
    CHECK(capacity.rejectedAfterWaiting < average.rejectedAfterWaiting);
    CHECK(capacity.rejectedAtOnce > capacity.rejectedAfterWaiting);
    LONGS_EQUAL(0, capacity.rejectedWithRoom);
}

TEST_GROUP(CapacityModel)
{
    const absl::Time now = absl::FromUnixSeconds(1000);
    DispatchPolicy policy;

    /// @return the capacity used of a minion of 32 cores with tasks of up to a fifth above and below a size.
    int64_t usedOf32Cores(int64_t milliCores) const
    {
        CapacityModel model(policy, now);
        for (int64_t i = 0; i < 64; ++i)
            model.jobArrived(offerOf(milliCores * (80 + i * 7 % 41) / 100, absl::Milliseconds(200), 1), now);
        return model.usableMilliCores(32000);
    }
};

// The mean of the sizes passing half of a minion's capacity must not halve the estimate of what the minion can take.
TEST(CapacityModel, TheUsableCapacityDoesNotJumpWhenTheMeanSizePassesAFractionOfAMinion)
{
    const int64_t below = usedOf32Cores(15900);
    const int64_t above = usedOf32Cores(16100);
    CHECK(above > 28000 && below > 28000);
    CHECK(std::abs(above - below) < 1600);
}

TEST(CapacityModel, TasksThatNeverFitTwiceUseOnlyHalfOfAMinion)
{
    CapacityModel model(policy, now);
    for (int i = 0; i < 8; ++i)
        model.jobArrived(offerOf(17000, absl::Milliseconds(200), 1), now);
    LONGS_EQUAL(17000, model.usableMilliCores(32000));
    LONGS_EQUAL(17000, model.startableMilliCores(20000));
    LONGS_EQUAL(0, model.startableMilliCores(16000));
}

// Callers refused together must not return together, and urgent ones come first.
TEST(CapacityModel, RetriesAreSpreadOverTheTimeThatTheirWorkTakes)
{
    RetrySchedule retries;
    const absl::Duration work = absl::Milliseconds(400);
    const absl::Duration first = retries.reserve(1, absl::Milliseconds(100), work, now);
    const absl::Duration second = retries.reserve(1, absl::Milliseconds(100), work, now);
    const absl::Duration lessUrgent = retries.reserve(2, absl::Milliseconds(100), work, now);
    CHECK(first == absl::Seconds(1));
    CHECK(second == first + work);
    CHECK(lessUrgent == second + work);
    CHECK(retries.reserve(0, absl::Milliseconds(100), work, now) == absl::Seconds(1));
}

TEST_GROUP(CapacityAdmission)
{
    CellFixture fixture { 5, absl::FromUnixSeconds(1000), AdmissionRule::Capacity };

    void setup() override
    {
        fixture.addMinion("m1");
    }

    void offer(const std::string& job, const JobOffer& like)
    {
        JobOffer offer = fixture.makeOffer(job, like.taskCount);
        offer.need = like.need;
        offer.estimate = like.estimate;
        offer.untilLate = like.untilLate;
        offer.untilTimeout = like.untilTimeout;
        offer.priority = like.priority;
        offer.route = RouteName("route-" + std::to_string(like.priority));
        fixture.offer(offer);
    }
};

// Estimates are rough: they alone are no reason to reject a job, or to stop its runs, while cores are free.
TEST(CapacityAdmission, AJobWithALongEstimateStartsIfResourcesAreFree)
{
    offer("job", offerOf(8000, absl::Seconds(5), 1));
    LONGS_EQUAL(2, fixture.takeStarts().size());
    fixture.advance(absl::Milliseconds(40));
    CHECK(fixture.takeResults().empty());
}

TEST(CapacityAdmission, AJobThatCanWaitForItsCoresIsAccepted)
{
    offer("running", offerOf(8000, absl::Milliseconds(60), 0));
    offer("waiting", offerOf(8000, absl::Milliseconds(200), 1));
    CHECK(fixture.takeResults().empty());
}

// A job that waits would be overtaken by the urgent work that keeps arriving, and be rejected after its wait.
TEST(CapacityAdmission, AJobIsRejectedAtOnceIfMoreUrgentWorkIsExpectedToTakeItsCores)
{
    const JobOffer urgent = offerOf(8000, absl::Milliseconds(60), 0);
    for (int i = 0; i < 25; ++i) {
        offer("urgent-" + std::to_string(i), urgent);
        const std::vector<StartOrder> starts = fixture.takeStarts();
        for (const StartOrder& start : starts)
            fixture.answerStart(start);
        fixture.advance(absl::Milliseconds(60));
        for (const StartOrder& start : starts)
            fixture.endRun(start, RunEnd::Done);
    }
    fixture.takeResults();
    offer("running", urgent);
    offer("waiting", offerOf(8000, absl::Milliseconds(200), 1));
    const std::vector<JobResult> ended = fixture.takeResults();
    LONGS_EQUAL(1, ended.size());
    CHECK(ended.front().end == JobEnd::Rejected);
    CHECK(ended.front().retryAfter >= absl::Seconds(1));
}

// Cores must not be held by runs whose answers nobody waits for.
TEST(CapacityAdmission, AJobWhoseRunCantEndBeforeItsCallerLeavesIsGivenUpAndItsRunsAreStopped)
{
    JobOffer slow = offerOf(8000, absl::Milliseconds(400), 1);
    slow.untilTimeout = absl::Milliseconds(600);
    offer("job", slow);
    const std::vector<StartOrder> starts = fixture.takeStarts();
    LONGS_EQUAL(2, starts.size());
    for (const StartOrder& start : starts)
        fixture.answerStart(start);
    fixture.advance(absl::Milliseconds(300));
    fixture.answerRenewal("m1", { { starts[0].run, 10 }, { starts[1].run, 80 } });
    fixture.advance(absl::Milliseconds(20));
    const std::vector<JobResult> ended = fixture.takeResults();
    LONGS_EQUAL(1, ended.size());
    CHECK(ended.front().end == JobEnd::GivenUp);
    LONGS_EQUAL(2, fixture.takeStops().size());
}

TEST(CapacityAdmission, AJobThatIsOvertakenIsRejectedBeforeTheEndOfItsTime)
{
    offer("running", offerOf(8000, absl::Milliseconds(200), 1));
    fixture.advance(absl::Milliseconds(100));
    offer("waiting", offerOf(8000, absl::Milliseconds(200), 1));
    CHECK(fixture.takeResults().empty());
    // The urgent jobs go before the one that waits, which can't end by 1.3 times its objective of 380 ms any more.
    for (int i = 0; i < 2; ++i) {
        JobOffer urgent = offerOf(8000, absl::Milliseconds(150), 0);
        urgent.untilLate = absl::Milliseconds(280);
        offer("urgent-" + std::to_string(i), urgent);
    }
    fixture.advance(absl::Milliseconds(40));
    bool isRejected = false;
    for (const JobResult& each : fixture.takeResults())
        isRejected = isRejected || (each.job == JobKey("waiting") && each.end == JobEnd::Rejected);
    CHECK(isRejected);
}

TEST(CapacityAdmission, TheExpectedAndTheActualWaitAreCounted)
{
    offer("running", offerOf(8000, absl::Milliseconds(100), 1));
    JobOffer patient = offerOf(8000, absl::Milliseconds(100), 1);
    patient.untilLate = absl::Seconds(1);
    offer("waiting", patient);
    const std::vector<StartOrder> starts = fixture.takeStarts();
    for (const StartOrder& start : starts)
        fixture.answerStart(start);
    fixture.advance(absl::Milliseconds(60));
    for (const StartOrder& start : starts)
        fixture.endRun(start, RunEnd::Done);
    LONGS_EQUAL(2, fixture.takeStarts().size());
    const CellTotals& totals = fixture.cell().totals();
    LONGS_EQUAL(2, totals.waits);
    LONGS_EQUAL(100, totals.expectedWaitMs);
    LONGS_EQUAL(60, totals.actualWaitMs);
    LONGS_EQUAL(40, totals.waitErrorMs);
}

// Urgent work alone is twice the capacity, so that nothing else would ever start.
TEST(CapacityAdmission, ARouteIsNotStarvedForever)
{
    int starts = 0;
    for (int i = 0; i < 120; ++i) {
        for (const char* name : { "a-", "b-" }) {
            offer(name + std::to_string(i), offerOf(8000, absl::Milliseconds(60), 0));
        }
        offer("other-" + std::to_string(i), offerOf(8000, absl::Milliseconds(60), 1));
        const std::vector<StartOrder> started = fixture.takeStarts();
        for (const StartOrder& start : started) {
            starts += start.run.job.value().starts_with("other-") ? 1 : 0;
            fixture.answerStart(start);
        }
        fixture.advance(absl::Milliseconds(60));
        for (const StartOrder& start : started)
            fixture.endRun(start, RunEnd::Done);
    }
    CHECK(starts > 0);
}
