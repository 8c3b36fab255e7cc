#pragma once

#include "Model/FleetMessages.h"

#include <absl/time/time.h>

#include <vector>

namespace trefoilwing {

/// An offer of a job that arrived before the grant of its cell.
struct PendingOffer {
    JobOffer offer;
    DaemonId entry;
    absl::Time receivedAt;

    /// @return the result that ends the offer without a start: no task of it ran here.
    JobResult rejection(absl::Time now) const;
};

/// Holds offers of jobs until the grant of their cell arrives: an entry may learn of a grant before the new owner does.
class PendingOffers {
public:
    void add(PendingOffer);

    /// Removes the offers that a new grant decides on.
    /// @return the offers that its owner accepts, in the order of their arrival.
    std::vector<PendingOffer> takeGranted(const CellGrant&);
    /// @return the offers that the cancel is for, which are removed.
    std::vector<PendingOffer> takeCancelled(const JobCancel&, const DaemonId& entry);
    /// @return the offers that have waited for too long, which are removed.
    std::vector<PendingOffer> takeExpired(absl::Time now);

private:
    template <typename Predicate>
    std::vector<PendingOffer> take(const Predicate& isTaken);

    std::vector<PendingOffer> offers_;
};

} // namespace trefoilwing
