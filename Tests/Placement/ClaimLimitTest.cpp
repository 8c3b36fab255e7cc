#include "Placement/CellFixture.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

// A caller that gets no answer submits its job again after the resubmit delay, to a cell that doesn't know of the earlier
// runs: by then they must have ended, whatever happened to the processes that could have stopped them.
TEST_GROUP(ClaimLimit)
{
    CellFixture fixture;
    DispatchPolicy policy;

    /// @return when a lease has certainly expired, on the owner's clock.
    absl::Time expiry(int64_t leaseEndMs, absl::Time now) const
    {
        return now + (absl::FromUnixMillis(leaseEndMs) - now) / (1 - policy.maxClockDrift);
    }

    /// Answers the renewals in progress: the minion still runs the task.
    /// @return the latest expiry of the leases that they grant; infinite past if they grant none.
    absl::Time renewWith(CellFixture & owner, const RunId& run)
    {
        absl::Time latest = absl::InfinitePast();
        for (const RenewOrder& order : owner.takeRenewals()) {
            if (order.leaseEndMs > 0)
                latest = std::max(latest, expiry(order.leaseEndMs, owner.now()));
        }
        owner.answerRenewal("m1", { { run, 10 } });
        return latest;
    }
};

TEST(ClaimLimit, NoLeaseReachesBeyondTheLastClaimByTheResubmitDelay)
{
    fixture.addMinion("m1");
    fixture.offer("job", 1);
    const StartOrder start = fixture.takeStarts().front();
    fixture.answerStart(start);
    const absl::Time claimedAt = fixture.now();
    fixture.cutLoads();
    absl::Time latest = expiry(start.leaseEndMs, fixture.now());
    for (int i = 0; i < 100; ++i) {
        latest = std::max(latest, renewWith(fixture, start.run));
        fixture.advance(absl::Milliseconds(20));
    }
    CHECK(latest > claimedAt + absl::Seconds(1));
    CHECK(latest <= claimedAt + policy.resubmitDelay);
}

TEST(ClaimLimit, TheLeaseOfAStartEndsInTimeForTheClaimOfItsOwnJob)
{
    fixture.addMinion("m1");
    JobOffer offer = fixture.makeOffer("job", 1);
    const absl::Time claimedAt = fixture.now() - absl::Milliseconds(900);
    offer.stamp = OwnerStamp { Incarnation(1), claimedAt };
    fixture.offer(offer);
    const StartOrder start = fixture.takeStarts().front();
    CHECK(expiry(start.leaseEndMs, fixture.now()) <= claimedAt + policy.resubmitDelay);
    CHECK(expiry(start.leaseEndMs, fixture.now()) >= fixture.now() + policy.minLease);
}

TEST(ClaimLimit, LeasesAreRenewedAsLongAsTheJobIsClaimed)
{
    fixture.addMinion("m1");
    JobOffer offer = fixture.makeOffer("job", 1);
    offer.estimate = absl::Seconds(10);
    offer.untilLate = offer.untilTimeout = absl::Seconds(20);
    fixture.offer(offer);
    const StartOrder start = fixture.takeStarts().front();
    fixture.answerStart(start);
    for (int i = 0; i < 10; ++i) {
        fixture.advance(absl::Milliseconds(250));
        CHECK(renewWith(fixture, start.run) > fixture.now() + absl::Milliseconds(500));
    }
}

// Guards against runs that outlive their callers' wait because each of several owners, killed one after the other,
// extended the leases of all runs that it found.
TEST(ClaimLimit, RunsEndInTimeHoweverOftenTheirOwnerRestarts)
{
    fixture.addMinion("m1");
    fixture.offer("job", 1);
    const StartOrder start = fixture.takeStarts().front();
    fixture.answerStart(start);
    const absl::Time claimedAt = fixture.now();
    absl::Time leaseEnd = expiry(start.leaseEndMs, fixture.now());
    absl::Time now = fixture.now();
    for (uint64_t epoch = 6; epoch < 16; ++epoch) {
        now += absl::Milliseconds(500);
        CellFixture owner(epoch, now);
        owner.reportMinion("m1");
        for (int i = 0; i < 22 && owner.now() < leaseEnd; ++i) {
            leaseEnd = std::max(leaseEnd, renewWith(owner, start.run));
            owner.advance(absl::Milliseconds(20));
        }
        now = owner.now();
    }
    CHECK(leaseEnd <= claimedAt + policy.resubmitDelay);
}

TEST(ClaimLimit, ARunOfAnEarlierOwnerIsKeptOnceItsJobIsClaimed)
{
    fixture.reportMinion("m1");
    const RunId run = CellFixture::runId("job", 0, 77);
    renewWith(fixture, run);
    fixture.advance(absl::Milliseconds(100));
    CHECK(renewWith(fixture, run) == absl::InfinitePast());
    JobOffer takeover = fixture.makeOffer("job", 1);
    takeover.isTakeover = true;
    takeover.stamp.reset();
    fixture.offer(takeover);
    CHECK(renewWith(fixture, run) == absl::InfinitePast());
    fixture.advance(absl::Milliseconds(40));
    renewWith(fixture, run);
    CHECK(renewWith(fixture, run) > fixture.now());
    LONGS_EQUAL(0, fixture.takeStarts().size());
}

// Guards against runs that go on because their entry, which has cancelled the job in vain, still sends heartbeats for
// others.
TEST(ClaimLimit, AJobWhoseCancelWasLostIsStopped)
{
    fixture.addMinion("m1");
    fixture.offer("job", 1);
    const StartOrder start = fixture.takeStarts().front();
    fixture.answerStart(start);
    fixture.dropOffer(1);
    JobOffer other = fixture.makeOffer("other", 1);
    other.offerNumber = 2;
    other.estimate = absl::Seconds(5);
    other.untilLate = other.untilTimeout = absl::Seconds(9);
    fixture.offer(other);
    const StartOrder second = fixture.takeStarts().front();
    fixture.answerStart(second);
    const absl::Time claimedAt = fixture.now();
    while (fixture.takeStops().empty()) {
        const auto progress = static_cast<uint32_t>(absl::ToInt64Milliseconds(fixture.now() - claimedAt) / 20);
        fixture.answerRenewal("m1", { { start.run, progress }, { second.run, progress } });
        fixture.advance(absl::Milliseconds(20));
        CHECK(fixture.now() < claimedAt + absl::Milliseconds(1200));
    }
    LONGS_EQUAL(1, fixture.cell().jobCount());
}

// A start carries a lease, which would keep the runs beside it alive too.
TEST(ClaimLimit, AMinionWithARunThatNobodyClaimsGetsNoTask)
{
    fixture.reportMinion("m1");
    const RunId run = CellFixture::runId("orphan", 0, 77);
    renewWith(fixture, run);
    JobOffer offer = fixture.makeOffer("job", 1);
    offer.untilLate = absl::Seconds(1);
    fixture.offer(offer);
    fixture.advance(absl::Milliseconds(600));
    LONGS_EQUAL(0, fixture.takeStarts().size());
    fixture.advance(absl::Milliseconds(40));
    fixture.answerStop(fixture.takeStops().front());
    fixture.answerRenewal("m1", {}, { { 1, run, RunEnd::Stopped } });
    LONGS_EQUAL(1, fixture.takeStarts().size());
}

// The claimed runs of a minion would lapse with the others, as all share one lease.
TEST(ClaimLimit, ARunThatNobodyClaimsIsStoppedSoonerBesideClaimedOnes)
{
    fixture.reportMinion("m1");
    JobOffer takeover = fixture.makeOffer("job", 1);
    takeover.isTakeover = true;
    fixture.offer(takeover);
    fixture.answerRenewal("m1", { { CellFixture::runId("job", 0, 77), 10 }, { CellFixture::runId("orphan", 0, 78), 10 } });
    fixture.advance(absl::Milliseconds(200));
    LONGS_EQUAL(0, fixture.takeStops().size());
    fixture.advance(absl::Milliseconds(100));
    const std::vector<StopOrder> stops = fixture.takeStops();
    LONGS_EQUAL(1, stops.size());
    CHECK(stops.front().run.job == JobKey("orphan"));
}

// Guards against starts for callers that left while their job was on its way, or while this process stood still.
TEST(ClaimLimit, AJobThatWasHeldUpStartsOnlyOnceItIsClaimedAgain)
{
    fixture.addMinion("m1");
    JobOffer offer = fixture.makeOffer("job", 1);
    offer.stamp = OwnerStamp { Incarnation(1), fixture.now() - absl::Seconds(2) };
    fixture.offer(offer);
    LONGS_EQUAL(0, fixture.takeStarts().size());
    fixture.advance(absl::Milliseconds(20));
    LONGS_EQUAL(1, fixture.takeStarts().size());
}

TEST(ClaimLimit, AClaimForAnEarlierProcessOfTheOwnerCountsForNothing)
{
    fixture.addMinion("m1");
    JobOffer offer = fixture.makeOffer("job", 1);
    offer.stamp = OwnerStamp { Incarnation(9), fixture.now() };
    fixture.offer(offer);
    LONGS_EQUAL(0, fixture.takeStarts().size());
}

// Guards against an owner that stood still and takes a claim for a job whose caller has submitted it elsewhere meanwhile.
TEST(ClaimLimit, AClaimThatHasLapsedIsNotRenewed)
{
    fixture.addMinion("m1");
    JobOffer offer = fixture.makeOffer("job", 1);
    offer.estimate = absl::Seconds(10);
    offer.untilLate = offer.untilTimeout = absl::Seconds(20);
    fixture.offer(offer);
    const StartOrder start = fixture.takeStarts().front();
    fixture.answerStart(start);
    fixture.pause(policy.maxClaimAge());
    LONGS_EQUAL(1, fixture.takeStops().size());
    CHECK(fixture.takeResults().front().end == JobEnd::GivenUp);
}

TEST(ClaimLimit, EntriesOfEarlierVersionsClaimTheirJobsWithEachMessage)
{
    fixture.addMinion("m1");
    JobOffer offer = fixture.makeOffer("job", 1);
    offer.stamp = OwnerStamp {};
    fixture.offer(offer);
    LONGS_EQUAL(1, fixture.takeStarts().size());
}

// The lease that an earlier owner granted last isn't known to the new one.
TEST(ClaimLimit, TasksOfAnInheritedRunWaitForTheEarlierOwnersLease)
{
    fixture.reportMinion("m1");
    fixture.addMinion("m2");
    JobOffer takeover = fixture.makeOffer("job", 1);
    takeover.isTakeover = true;
    fixture.offer(takeover);
    fixture.answerRenewal("m1", { { CellFixture::runId("job", 0, 77), 10 } });
    fixture.cutLoads();
    for (int i = 0; i < 6; ++i) {
        fixture.failRenewal("m1");
        fixture.advance(absl::Milliseconds(100));
    }
    LONGS_EQUAL(0, fixture.takeStarts().size());
}
