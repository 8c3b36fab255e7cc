#include "Placement/PendingOffers.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

// An entry knows of a grant before the new owner does, so its offers wait at the owner.
TEST_GROUP(PendingOffers)
{
    const CellId cell { ServiceId("service"), DataCentreId("centre") };
    const DaemonId entry { "entry" };
    const absl::Time start = absl::FromUnixSeconds(1000);
    PendingOffers pending;

    JobOffer makeOffer(const std::string& job, uint64_t number, uint64_t epoch = 8) const
    {
        JobOffer offer;
        offer.epoch = OwnerEpoch(epoch);
        offer.cell = cell;
        offer.job = JobKey(job);
        offer.offerNumber = number;
        return offer;
    }

    void add(const JobOffer& offer)
    {
        pending.add({ offer, entry, start });
    }

    CellGrant makeGrant(uint64_t epoch) const
    {
        return { cell, { DaemonId("owner"), Incarnation(2) }, OwnerEpoch(epoch) };
    }

    std::vector<PendingOffer> takeGranted(uint64_t epoch)
    {
        return pending.takeGranted(makeGrant(epoch));
    }
};

TEST(PendingOffers, OffersAreAcceptedInTheirOrderWhenTheGrantArrives)
{
    add(makeOffer("first", 1));
    add(makeOffer("second", 2));
    JobOffer elsewhere = makeOffer("other", 3);
    elsewhere.cell.dataCentre = DataCentreId("far");
    add(elsewhere);
    const std::vector<PendingOffer> accepted = takeGranted(8);
    LONGS_EQUAL(2, accepted.size());
    CHECK(accepted[0].offer.job == JobKey("first"));
    CHECK(accepted[1].offer.job == JobKey("second"));
    LONGS_EQUAL(0, takeGranted(9).size());
}

TEST(PendingOffers, ACancelRemovesOnlyTheOfferThatItNames)
{
    add(makeOffer("job", 1));
    LONGS_EQUAL(0, pending.takeCancelled({ cell, JobKey("job"), 2 }, entry).size());
    LONGS_EQUAL(0, pending.takeCancelled({ cell, JobKey("job"), 1 }, DaemonId("another")).size());
    const std::vector<PendingOffer> cancelled = pending.takeCancelled({ cell, JobKey("job"), 1 }, entry);
    LONGS_EQUAL(1, cancelled.size());
    const JobResult result = cancelled.front().rejection(start + absl::Milliseconds(7));
    LONGS_EQUAL(1, result.offerNumber);
    CHECK(result.end == JobEnd::Rejected);
    CHECK(result.reason == RejectionReason::NoGrant);
    CHECK(result.queued == absl::Milliseconds(7));
    LONGS_EQUAL(0, takeGranted(8).size());
}

TEST(PendingOffers, AnOfferWithoutAGrantExpires)
{
    add(makeOffer("job", 1));
    LONGS_EQUAL(0, pending.takeExpired(start + absl::Milliseconds(500)).size());
    LONGS_EQUAL(1, pending.takeExpired(start + absl::Milliseconds(501)).size());
    LONGS_EQUAL(0, takeGranted(8).size());
}

// An earlier owner may have started tasks of it.
TEST(PendingOffers, ATakeoverIsNeverRejectedAsNotRun)
{
    JobOffer offer = makeOffer("job", 1);
    offer.isTakeover = true;
    add(offer);
    CHECK(pending.takeExpired(start + absl::Seconds(1)).front().rejection(start).end == JobEnd::GivenUp);
}

// Guards against a job that starts twice at a restarted owner: by the offer to its predecessor, which it reads late, and by
// the offer to itself.
TEST(PendingOffers, AnOfferToAnEarlierOwnerIsNotAccepted)
{
    add(makeOffer("job", 1, 4));
    add(makeOffer("job", 2, 8));
    const std::vector<PendingOffer> accepted = takeGranted(8);
    LONGS_EQUAL(1, accepted.size());
    LONGS_EQUAL(2, accepted.front().offer.offerNumber);
    LONGS_EQUAL(1, pending.takeCancelled({ cell, JobKey("job"), 1 }, entry).size());
}

TEST(PendingOffers, AnOfferWaitsForTheGrantThatItNames)
{
    add(makeOffer("job", 1, 9));
    LONGS_EQUAL(0, takeGranted(8).size());
    LONGS_EQUAL(1, takeGranted(9).size());
}

TEST(PendingOffers, AnOwnerAcceptsOffersOfItsOwnGrantOnly)
{
    CHECK(PendingOffers::isFor(makeOffer("job", 1, 8), OwnerEpoch(8)));
    CHECK_FALSE(PendingOffers::isFor(makeOffer("job", 1, 9), OwnerEpoch(8)));
    CHECK_FALSE(PendingOffers::isFor(makeOffer("job", 1, 7), OwnerEpoch(8)));
}

// During an upgrade, entries of earlier versions don't name the grant.
TEST(PendingOffers, AnOfferThatNamesNoGrantIsForAnyOwner)
{
    CHECK(PendingOffers::isFor(makeOffer("job", 1, 0), OwnerEpoch(8)));
    add(makeOffer("job", 1, 0));
    LONGS_EQUAL(1, takeGranted(8).size());
}

TEST(PendingOffers, AnOfferThatNamesNoGrantIsNeverRejectedAsNotRun)
{
    add(makeOffer("job", 1, 0));
    CHECK(pending.takeCancelled({ cell, JobKey("job"), 1 }, entry).front().rejection(start).end == JobEnd::GivenUp);
}
