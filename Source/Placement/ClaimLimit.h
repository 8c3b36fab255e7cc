#pragma once

#include "Placement/DispatchPolicy.h"

#include <absl/time/time.h>

namespace trefoilwing {

/// Limits the time for which runs go on without a claim.
///
/// A job's claim is the latest time, on the owner's clock, at which its entry is known to have held it for a caller that
/// waits. A caller that gets no answer submits the job again after the resubmit delay, to any entry, and the cell that
/// then runs it doesn't know of earlier runs elsewhere. Hence the rule: no run outlives its last claim by the resubmit
/// delay, whichever process restarts, stands still or hands over its cell meanwhile.
///
/// A minion ends runs by itself only when its lease expires, so no lease reaches beyond this limit. The lease is the same
/// for all runs of a minion: the oldest claim among them counts, and a run whose claim isn't known, because an earlier
/// owner started it, keeps the lease from being extended at all.
class ClaimLimit {
public:
    explicit ClaimLimit(const DispatchPolicy& policy)
        : policy_(policy)
        , timeForMinLease_(timeFor(policy.minLease))
        , timeForFullLease_(timeFor(policy.leaseDuration))
    {
    }

    /// @param claimedAt infinite past if no claim is known.
    /// @return the time by which the runs of a job with this claim must have ended.
    absl::Time endOf(absl::Time claimedAt) const { return claimedAt + policy_.maxClaimAge(); }

    /// @return whether a run that must have ended by a time can be given a lease that is worth a start.
    bool allowsStart(absl::Time end, absl::Time now) const { return end - now >= timeForMinLease_; }

    /// @return the longest lease, on the minion's clock, that has certainly expired by a time; not positive if there is
    /// none.
    absl::Duration maxLease(absl::Time end, absl::Time now) const
    {
        return end - now >= timeForFullLease_ ? policy_.leaseDuration : (end - now - policy_.clockMargin) * (1 - policy_.maxClockDrift);
    }

    /// @return the time by which the runs have ended that an earlier owner may have started of a job, if nobody can tell
    /// which ones it did.
    /// @param lastUse when the job's entry turned to this owner. It may have used the earlier one until then, if nobody told
    /// it of the new grant. That one stops what its entry no longer claims, at the latest after the entry's silence, and
    /// then the lease of the last order has to expire.
    absl::Time endOfEarlierRuns(absl::Time lastUse) const { return lastUse + policy_.entryTimeout + timeForFullLease_; }

    /// @return the time by which the runs have ended that a minion may have started if it restarted before it received an
    /// order. Its clock has started anew, so that it grants its longest lease, whatever the order's end of the lease is.
    /// @param sentAt when the last order with a lease was sent.
    absl::Time endOfNewInstanceRuns(absl::Time sentAt) const { return sentAt + policy_.orderTimeout + timeFor(policy_.maxMinionLease); }

    /// @return the time after which a lease that begins now has certainly expired. A minion's clock may be slow.
    absl::Duration timeFor(absl::Duration lease) const { return lease / (1 - policy_.maxClockDrift) + policy_.clockMargin; }

private:
    const DispatchPolicy& policy_;
    const absl::Duration timeForMinLease_;
    const absl::Duration timeForFullLease_;
};

} // namespace trefoilwing
