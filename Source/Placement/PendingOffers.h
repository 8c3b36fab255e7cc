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

    /// @return the result that ends the offer without a start: rejected as not run, unless that may not be true.
    JobResult rejection(absl::Time now) const;
};

/// Holds offers of jobs until the grant that they name arrives: an entry may learn of a grant before the new owner does.
///
/// An offer is for the owner by one grant. A process that restarts keeps its id, so it reads what was sent to its
/// predecessor; a process that gets a cell back has dropped the jobs of its earlier grant. An offer for an earlier owner
/// is never accepted: it waits until its entry knows the newer grant and cancels it, or until it expires.
class PendingOffers {
public:
    /// @param held the epoch under which this daemon owns the offer's cell.
    /// @return whether the offer is for the owner under that epoch.
    static bool isFor(const JobOffer&, OwnerEpoch held);

    void add(PendingOffer);

    /// @param grant of a cell to this daemon.
    /// @return the offers for its owner, in the order of their arrival, which are removed.
    std::vector<PendingOffer> takeGranted(const CellGrant& grant);
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
