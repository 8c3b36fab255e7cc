#include "Placement/CellFixture.h"
#include "Placement/CellShard.h"
#include "Support/FakeClock.h"
#include "Support/RecordingEventLog.h"
#include "Support/RecordingPeers.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

// An operator evacuates the data centre of a cell that runs jobs and has others queued.
TEST_GROUP(Evacuation)
{
    CellFixture fixture;

    /// Lets time pass in which the runs make progress.
    void progressRuns(CellFixture & cell, const std::vector<StartOrder>& starts, int steps)
    {
        for (int step = 0; step < steps; ++step) {
            cell.advance(absl::Milliseconds(100));
            std::vector<RunProgress> running;
            running.reserve(starts.size());
            for (const StartOrder& start : starts)
                running.push_back({ start.run, ++progress });
            cell.answerRenewal("m1", running);
        }
    }

    std::vector<StartOrder> takeStarts()
    {
        std::vector<StartOrder> starts = fixture.takeStarts();
        for (const StartOrder& start : starts)
            fixture.answerStart(start);
        return starts;
    }

    uint32_t progress = 0;
};

TEST(Evacuation, RunsGoOnAndJobsThatHaveNotBegunAreHandedBackAsNotRun)
{
    fixture.addMinion("m1");
    fixture.offer("running", 2);
    const std::vector<StartOrder> starts = takeStarts();
    LONGS_EQUAL(2, starts.size());
    fixture.offer("queued", 1);
    fixture.setEvacuated(true);
    std::vector<JobResult> results = fixture.takeResults();
    LONGS_EQUAL(1, results.size());
    CHECK(results.front().job == JobKey("queued"));
    CHECK(results.front().end == JobEnd::Rejected);
    LONGS_EQUAL(0, fixture.takeStops().size());
    progressRuns(fixture, starts, 9);
    for (const StartOrder& start : starts)
        fixture.endRun(start, RunEnd::Done);
    results = fixture.takeResults();
    LONGS_EQUAL(1, results.size());
    CHECK(results.front().job == JobKey("running"));
    CHECK(results.front().end == JobEnd::Completed);
    LONGS_EQUAL(0, fixture.takeStarts().size());
}

// An entry that hasn't learned of the order offers a job; it must not wait for the end of its time.
TEST(Evacuation, NewJobsAreRejectedAtOnceThoughTheCellIsFree)
{
    fixture.addMinion("m1");
    fixture.setEvacuated(true);
    fixture.offer("job", 1);
    const std::vector<JobResult> results = fixture.takeResults();
    LONGS_EQUAL(1, results.size());
    CHECK(results.front().end == JobEnd::Rejected);
    fixture.advance(absl::Seconds(1));
    LONGS_EQUAL(0, fixture.takeStarts().size());
}

TEST(Evacuation, AJobInProgressMayStartItsOtherTasksForAShortTimeOnly)
{
    fixture.addMinion("m1");
    fixture.offer("job", 4);
    std::vector<StartOrder> starts = takeStarts();
    LONGS_EQUAL(2, starts.size());
    fixture.setEvacuated(true);
    fixture.endRun(starts[0], RunEnd::Done);
    const std::vector<StartOrder> third = takeStarts();
    LONGS_EQUAL(1, third.size());
    progressRuns(fixture, { starts[1], third[0] }, 6);
    const std::vector<JobResult> results = fixture.takeResults();
    LONGS_EQUAL(1, results.size());
    CHECK(results.front().end == JobEnd::GivenUp);
    LONGS_EQUAL(2, fixture.takeStops().size());
    LONGS_EQUAL(0, fixture.takeStarts().size());
}

// Guards against starts after the order: a task that failed is repeated.
TEST(Evacuation, AFailedTaskIsNotRepeatedAfterTheOrder)
{
    fixture.addMinion("m1");
    fixture.offer("job", 2);
    const std::vector<StartOrder> starts = takeStarts();
    fixture.setEvacuated(true);
    progressRuns(fixture, starts, 6);
    LONGS_EQUAL(0, fixture.takeResults().size());
    fixture.endRun(starts[0], RunEnd::Failed);
    fixture.advance(absl::Milliseconds(20));
    const std::vector<JobResult> results = fixture.takeResults();
    LONGS_EQUAL(1, results.size());
    CHECK(results.front().end == JobEnd::GivenUp);
    const std::vector<StopOrder> stops = fixture.takeStops();
    LONGS_EQUAL(1, stops.size());
    CHECK(stops.front().run == starts[1].run);
    fixture.advance(absl::Seconds(1));
    LONGS_EQUAL(0, fixture.takeStarts().size());
}

TEST(Evacuation, ASecondOrderGivesNoMoreTime)
{
    fixture.addMinion("m1");
    fixture.offer("job", 3);
    const std::vector<StartOrder> starts = takeStarts();
    fixture.setEvacuated(true);
    progressRuns(fixture, starts, 4);
    fixture.setEvacuated(true);
    progressRuns(fixture, starts, 2);
    const std::vector<JobResult> results = fixture.takeResults();
    LONGS_EQUAL(1, results.size());
    CHECK(results.front().end == JobEnd::GivenUp);
}

// Guards against starts by an owner that takes the cell over after the order: runs that it finds go on, tasks that it doesn't
// find aren't started, and their jobs can't be called not run.
TEST(Evacuation, ANewOwnerAdoptsRunsAndStartsNothing)
{
    CellFixture successor { 9 };
    successor.setEvacuated(true, false);
    successor.reportMinion("m1");
    for (const char* job : { "found", "partly-found", "lost" }) {
        JobOffer offer = successor.makeOffer(job, std::string(job) == "partly-found" ? 2 : 1);
        offer.isTakeover = true;
        offer.offerNumber = 1 + offer.job.value().size();
        successor.offer(offer);
    }
    LONGS_EQUAL(0, successor.takeResults().size());
    successor.answerRenewal("m1", { { CellFixture::runId("found", 0, 77), 10 }, { CellFixture::runId("partly-found", 0, 78), 10 } });
    successor.advance(absl::Milliseconds(20));
    std::vector<JobResult> results = successor.takeResults();
    LONGS_EQUAL(2, results.size());
    for (const JobResult& result : results) {
        CHECK(result.job != JobKey("found"));
        CHECK(result.end == JobEnd::GivenUp);
    }
    LONGS_EQUAL(1, successor.cell().jobCount());
    successor.answerRenewal("m1", {}, { { 1, CellFixture::runId("found", 0, 77), RunEnd::Done } });
    results = successor.takeResults();
    LONGS_EQUAL(1, results.size());
    CHECK(results.front().end == JobEnd::Completed);
    successor.advance(absl::Seconds(3));
    LONGS_EQUAL(0, successor.takeStarts().size());
}

// Guards against a false "not run": a caller submits a job again, and the new owner doesn't know yet that it runs.
TEST(Evacuation, AJobIsCalledNotRunOnlyOnceTheRunsOfTheEarlierOwnerAreKnown)
{
    CellFixture successor { 9 };
    successor.setEvacuated(true, false);
    successor.reportMinion("m1");
    successor.offer("resubmitted", 1);
    JobOffer other = successor.makeOffer("new", 1);
    other.offerNumber = 2;
    successor.offer(other);
    LONGS_EQUAL(0, successor.takeResults().size());
    successor.answerRenewal("m1", { { CellFixture::runId("resubmitted", 0, 77), 10 } });
    successor.advance(absl::Milliseconds(20));
    const std::vector<JobResult> results = successor.takeResults();
    LONGS_EQUAL(2, results.size());
    for (const JobResult& result : results)
        CHECK(result.end == (result.job == JobKey("new") ? JobEnd::Rejected : JobEnd::GivenUp));
    LONGS_EQUAL(0, successor.takeStarts().size());
}

TEST(Evacuation, AfterTheWithdrawalJobsStartAtOnce)
{
    fixture.addMinion("m1");
    fixture.setEvacuated(true);
    fixture.advance(absl::Seconds(1));
    fixture.setEvacuated(false);
    fixture.offer("job", 2);
    LONGS_EQUAL(2, fixture.takeStarts().size());
}

namespace {

/// Counts the starts that are sent to minions.
class CountingOrders : public MinionOrders {
public:
    void send(const CellId&, const StartOrder&) override { ++starts; }
    void send(const CellId&, const StopOrder&) override { }
    void send(const CellId&, const RenewOrder&) override { }

    size_t starts = 0;
};

} // namespace

// Orders to evacuate reach an owner from several keepers, each on a thread of its own.
TEST_GROUP(EvacuatedShard)
{
    const CellId cell { ServiceId("service"), DataCentreId("centre") };
    const CellGrant grant { cell, { DaemonId("entry-1"), Incarnation(1) }, OwnerEpoch(5) };
    const MinionInstance minion { MinionId("m1"), MinionStartTime(1) };
    CellFixture offers;
    DispatchPolicy policy;
    LeastSlackFirst order;
    CountingOrders orders;
    RecordingPeers peers;
    FakeClock clock;
    SeededRandom random { 1 };
    RecordingEventLog log;

    std::unique_ptr<CellShard> makeShard(uint64_t revision, bool isEvacuated)
    {
        auto shard = std::make_unique<CellShard>(grant, policy, order, CellPorts { orders, peers, clock, random, log }, evacuation(revision, isEvacuated));
        shard->setMinionsKnown(true);
        shard->minionReported({ minion, 1, cell.pool(), { "m1", 80 }, { 16000, 65536, 0 }, {}, MinionState::Serving });
        shard->answered(RenewResult { minion, grant.epoch, OrderFailure::None, absl::ToUnixMillis(clock.time), {}, {} });
        return shard;
    }

    Evacuation evacuation(uint64_t revision, bool isEvacuated) const
    {
        return { cell.dataCentre, EvacuationRevision(revision), isEvacuated };
    }

    /// @return the number of starts that a new job of one task causes.
    size_t startsOf(CellShard & shard, uint64_t number)
    {
        JobOffer offer = offers.makeOffer("job-" + std::to_string(number), 1);
        offer.offerNumber = number;
        orders.starts = 0;
        shard.offered(offer, DaemonId("entry-1"));
        return orders.starts;
    }
};

TEST(EvacuatedShard, ACellThatIsGrantedAfterTheOrderStartsNothing)
{
    const auto shard = makeShard(7, true);
    LONGS_EQUAL(0, startsOf(*shard, 1));
    LONGS_EQUAL(1, log.count("job_turned_down"));
    const auto other = makeShard(0, false);
    LONGS_EQUAL(1, startsOf(*other, 2));
}

TEST(EvacuatedShard, AnOlderOrderThatIsAppliedLateChangesNothing)
{
    const auto shard = makeShard(0, false);
    shard->setEvacuated(evacuation(9, true));
    shard->setEvacuated(evacuation(7, false));
    LONGS_EQUAL(0, startsOf(*shard, 1));
    shard->setEvacuated(evacuation(11, false));
    shard->setEvacuated(evacuation(9, true));
    LONGS_EQUAL(1, startsOf(*shard, 2));
}
