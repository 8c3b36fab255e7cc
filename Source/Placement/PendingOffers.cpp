#include "Placement/PendingOffers.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace trefoilwing {

namespace {

    /// Maximum time that an offer waits for the grant of its cell.
    constexpr absl::Duration grantTimeout = absl::Milliseconds(500);

} // namespace

JobResult PendingOffer::rejection(absl::Time now) const
{
    // An earlier owner may have started tasks of a takeover. An entry of an earlier version offers a job again under the same
    // number, and would take a rejection of the first offer for one of the second.
    const bool mayHaveRun = offer.isTakeover || offer.epoch == OwnerEpoch(0);
    return { offer.job, offer.offerNumber, mayHaveRun ? JobEnd::GivenUp : JobEnd::Rejected, {}, now - receivedAt, mayHaveRun ? RejectionReason::Unstated : RejectionReason::NoGrant };
}

template <typename Predicate>
std::vector<PendingOffer> PendingOffers::take(const Predicate& isTaken)
{
    const auto first = std::stable_partition(offers_.begin(), offers_.end(), [&](const PendingOffer& pending) { return !isTaken(pending); });
    std::vector<PendingOffer> taken(std::make_move_iterator(first), std::make_move_iterator(offers_.end()));
    offers_.erase(first, offers_.end());
    return taken;
}

void PendingOffers::add(PendingOffer pending)
{
    offers_.push_back(std::move(pending));
}

bool PendingOffers::isFor(const JobOffer& offer, OwnerEpoch held)
{
    // Entries of earlier versions don't name the grant.
    return offer.epoch == held || offer.epoch == OwnerEpoch(0);
}

std::vector<PendingOffer> PendingOffers::takeGranted(const CellGrant& grant)
{
    return take([&](const PendingOffer& pending) { return pending.offer.cell == grant.cell && isFor(pending.offer, grant.epoch); });
}

std::vector<PendingOffer> PendingOffers::takeCancelled(const JobCancel& cancel, const DaemonId& entry)
{
    return take([&](const PendingOffer& pending) { return pending.entry == entry && pending.offer.job == cancel.job && pending.offer.offerNumber == cancel.offerNumber; });
}

std::vector<PendingOffer> PendingOffers::takeExpired(absl::Time now)
{
    return take([&](const PendingOffer& pending) { return now > pending.receivedAt + grantTimeout; });
}

} // namespace trefoilwing
