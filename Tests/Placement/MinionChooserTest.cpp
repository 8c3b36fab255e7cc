#include "Placement/MinionChooser.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

// Minions of one kind differ in speed by a factor of up to three, and few cores are free.
TEST_GROUP(MinionChooser)
{
    const absl::Time now = absl::FromUnixSeconds(1000);
    DispatchPolicy policy;
    MinionTable minions;
    NoInterference interference;
    MinionChooser chooser { policy, interference };
    CellTask task;
    uint64_t runs = 0;

    /// @param slowness the learned ratio of the minion's run times to the estimates.
    LeasedMinion& add(const std::string& id, double slowness)
    {
        const CellId cell { ServiceId("service"), DataCentreId("centre") };
        auto minion = std::make_unique<LeasedMinion>(MinionReport { { MinionId(id), MinionStartTime(1) }, 1, cell.pool(), { id, 80 }, { 16000, 65536, 0 }, {}, MinionState::Serving }, policy);
        minion->isFenced = true;
        for (int i = 0; i < 50; ++i)
            minion->recordRunTime(absl::Seconds(1), absl::Seconds(slowness));
        return *(minions[MinionId(id)] = std::move(minion));
    }

    CellJobPtr job(absl::Duration estimate, absl::Duration untilLate)
    {
        JobOffer offer;
        offer.job = JobKey("job-" + std::to_string(++runs));
        offer.taskCount = 1;
        offer.need = { 7000, 64, 0 };
        offer.estimate = estimate;
        offer.untilLate = untilLate;
        offer.untilTimeout = absl::Seconds(9);
        CellJobPtr made(new CellJob(offer, DaemonId("entry"), now, 0.3));
        made->claimedAt = now;
        return made;
    }

    /// Fills a minion with two runs that started the given time ago.
    void fill(LeasedMinion & minion, absl::Duration estimate, absl::Duration ago)
    {
        for (uint32_t i = 0; i < 2; ++i) {
            Run run;
            run.job = job(estimate, absl::Seconds(5));
            run.id = { run.job->offer().job, TaskIndex(0), RunNumber(++runs) };
            run.need = { 7000, 64, 0 };
            run.startedAt = now - ago;
            minion.addRun(run);
        }
    }

    std::string choose(const CellJobPtr& chosenFor)
    {
        const LeasedMinion* minion = chooser.choose(minions, *chosenFor, task, now);
        return minion ? minion->instance().minion.value() : "none";
    }
};

TEST(MinionChooser, WithManyFreeCoresTheFastestMinionIsChosen)
{
    add("fast", 0.6);
    add("slow", 1.6);
    STRCMP_EQUAL("fast", choose(job(absl::Milliseconds(50), absl::Milliseconds(140))).c_str());
}

TEST(MinionChooser, WithFewFreeCoresAShortTaskLeavesTheFastMinionToLongerOnes)
{
    add("fast", 0.6);
    add("slow", 1.6);
    for (int i = 0; i < 16; ++i)
        fill(add("busy-" + std::to_string(i), 1), absl::Milliseconds(500), absl::ZeroDuration());
    STRCMP_EQUAL("slow", choose(job(absl::Milliseconds(50), absl::Milliseconds(140))).c_str());
    STRCMP_EQUAL("fast", choose(job(absl::Milliseconds(760), absl::Milliseconds(1276))).c_str());
}

TEST(MinionChooser, ALongTaskWaitsForAFasterMinionThatBecomesFreeInTime)
{
    add("slow", 1.6);
    fill(add("fast", 0.6), absl::Milliseconds(500), absl::Milliseconds(200));
    STRCMP_EQUAL("none", choose(job(absl::Milliseconds(760), absl::Milliseconds(1276))).c_str());
}

TEST(MinionChooser, ATaskThatGainsNothingByWaitingStartsOnAFreeMinion)
{
    add("slow", 1.6);
    fill(add("fast", 0.6), absl::Seconds(3), absl::ZeroDuration());
    STRCMP_EQUAL("slow", choose(job(absl::Milliseconds(760), absl::Milliseconds(1276))).c_str());
}

// Some minions become several times slower for a few seconds.
TEST(MinionChooser, AMinionThatBecomesSlowIsAvoidedAfterAFewRuns)
{
    LeasedMinion& turned = add("turned", 0.6);
    add("usual", 1);
    CHECK(turned.slowness() < 0.7);
    for (int i = 0; i < 4; ++i)
        turned.recordRunTime(absl::Milliseconds(100), absl::Milliseconds(300));
    STRCMP_EQUAL("usual", choose(job(absl::Milliseconds(50), absl::Milliseconds(140))).c_str());
    for (int i = 0; i < 6; ++i)
        turned.recordRunTime(absl::Milliseconds(100), absl::Milliseconds(60));
    STRCMP_EQUAL("turned", choose(job(absl::Milliseconds(50), absl::Milliseconds(140))).c_str());
}

TEST(MinionChooser, OneTaskThatTakesFarLongerThanEstimatedChangesLittle)
{
    LeasedMinion& minion = add("minion", 1);
    minion.recordRunTime(absl::Milliseconds(100), absl::Milliseconds(400));
    CHECK(minion.slowness() < 1.2);
}

TEST(MinionChooser, TheMinionThatFailedATaskIsItsLastChoice)
{
    add("other", 1.6);
    add("failed-it", 0.6);
    task.avoidedMinion = MinionId("failed-it");
    STRCMP_EQUAL("other", choose(job(absl::Milliseconds(50), absl::Milliseconds(140))).c_str());
    minions.erase(MinionId("other"));
    STRCMP_EQUAL("failed-it", choose(job(absl::Milliseconds(50), absl::Milliseconds(140))).c_str());
}

// Many jobs wait at a peak. Jobs that fit nowhere are found without a search of all minions for each job.
TEST(MinionChooser, MaxFreeIsTheMaximumOfEachResourceOverUsableMinions)
{
    add("idle", 1);
    fill(add("busy", 1), absl::Milliseconds(500), absl::ZeroDuration());
    CHECK(MinionChooser::maxFree(minions, now) == (ResourceVector { 16000, 65536, 0 }));
    minions[MinionId("idle")]->isFull = true;
    CHECK(MinionChooser::maxFree(minions, now) == (ResourceVector { 2000, 65536 - 128, 0 }));
    minions.clear();
    CHECK(MinionChooser::maxFree(minions, now) == ResourceVector {});
}
