#pragma once

#include "Model/Runs.h"
#include "Placement/CellJob.h"
#include "Placement/ClaimLimit.h"
#include "Placement/MinionHealth.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <optional>
#include <vector>

namespace trefoilwing {

enum class RunState {
    /// The start order was sent and not answered yet.
    Starting,
    Running,
    /// The start order got no answer; a stop must ensure that it is never carried out.
    Unconfirmed,
    /// A stop order was sent; it may have been answered.
    Stopping,
};

/// How long a run has run beside runs of a route on its minion.
struct RunCompany {
    RouteName route;
    absl::Duration duration;
};

/// One run as known to the owner of its cell.
struct Run {
    RunId id;
    /// Null if no caller waits for the run any more, or if an earlier owner started it.
    CellJobPtr job;
    ResourceVector need;
    RunState state = RunState::Starting;
    absl::Time startedAt;
    /// End of the lease of its start order, on the minion's clock.
    int64_t leaseEndMs = 0;
    /// Number of start orders sent, and of those whose results haven't arrived.
    uint32_t startOrders = 0;
    uint32_t startsInFlight = 0;
    /// When the minion last confirmed that it has the run; infinite past until the start is answered.
    absl::Time confirmedAt = absl::InfinitePast();
    /// When the minion last listed the run in the answer to a renewal.
    absl::Time listedAt = absl::InfinitePast();
    uint32_t progress = 0;
    absl::Time progressAt;
    /// Time after which the run has certainly ended; set when a stop is answered.
    absl::Time endsBy = absl::InfiniteFuture();
    absl::Time stopSentAt = absl::InfinitePast();
    /// Whether an earlier owner started the run; its entry may still offer the job to this owner.
    bool isInherited = false;
    /// The company that the run has had so far; kept only if LeasedMinion::recordCompany() is called.
    std::vector<RunCompany> company;
};

/// A minion of the cell, with its runs, its lease and its learned speed.
class LeasedMinion {
public:
    LeasedMinion(MinionReport, const DispatchPolicy&);

    const MinionReport& report() const { return report_; }
    /// Replaces the report by a later one of the same instance.
    void setReport(MinionReport);
    const MinionInstance& instance() const { return report_.instance; }

    /// Records the minion's clock as reported in an answer.
    void recordClock(int64_t clockMs, absl::Time now);
    bool knowsClock() const { return clockMs_ > 0; }
    /// Renews the lease, as far as the claims of the minion's runs allow.
    /// @return the end of a lease that begins now, on the minion's clock; 0 if the lease must not be extended.
    int64_t renewLease(absl::Time now);
    /// Records that the lease of an earlier owner, whose last orders can't be known, may still be in force.
    void inheritLease(absl::Time now);
    /// Takes over the newest claims of the minion's jobs. Until then, older ones count.
    void refreshClaims();
    /// Time by which all leases granted have certainly expired.
    absl::Time leasesExpireBy() const { return leasesExpireBy_; }
    /// The same, if the minion restarted before it received the orders.
    absl::Time newInstanceLeasesExpireBy() const { return std::max(leasesExpireBy_, claimLimit_.endOfNewInstanceRuns(leaseSentAt_)); }

    /// Whether the minion counts as a part of the cell's capacity.
    bool isUsable(absl::Time now) const;
    /// Whether the claims of its runs leave a lease with which another task may start beside them.
    bool allowsStart(absl::Time now) const { return claimLimit_.allowsStart(claimsEndAt_, now); }
    /// Resources that are free for new runs.
    const ResourceVector& free() const { return free_; }

    Run& addRun(Run);
    Run* findRun(const RunId&);
    /// Removes a run and frees its resources.
    void removeRun(const RunId&);
    /// Adds the time since the last call to the company of all runs. Call it before a run is added or removed.
    void recordCompany(absl::Time now);
    absl::flat_hash_map<RunId, Run>& runs() { return runs_; }
    const absl::flat_hash_map<RunId, Run>& runs() const { return runs_; }

    /// Updates the learned speed with the run time of a successful run.
    void recordRunTime(absl::Duration estimate, absl::Duration taken);
    /// @return the expected run time of a task on this minion.
    absl::Duration expectedTime(absl::Duration estimate) const { return estimate * slowness_; }
    /// @return the learned ratio of run times on this minion to the callers' estimates.
    double slowness() const { return slowness_; }
    /// @return the expected number of runs that end per second.
    double completionsPerSecond() const;
    /// @return the expected end of the first run to end; now if nothing runs.
    absl::Time nextExpectedEnd(absl::Time now) const;

    MinionHealth health;
    /// Whether a renewal with this owner's epoch was answered, so that the minion rejects orders of earlier owners.
    bool isFenced = false;
    /// Set once the minion has left: when it is removed although it never answered this owner. Runs of an earlier owner have ended
    /// by then.
    std::optional<absl::Time> drainedBy;
    /// Whether a start was rejected for lack of resources, so that less is free than assumed; cleared by the next
    /// answered renewal.
    bool isFull = false;
    uint64_t lastEndNumber = 0;
    uint64_t acknowledgedEndNumber = 0;
    absl::Time lastEndAt = absl::InfinitePast();
    std::optional<absl::Time> renewalSentAt;
    uint64_t renewalEndNumber = 0;
    absl::Time lastRenewalAt = absl::InfinitePast();

private:
    MinionReport report_;
    absl::Time claimEndOf(const Run&) const;

    const DispatchPolicy& policy_;
    const ClaimLimit claimLimit_;
    ResourceVector free_;
    absl::flat_hash_map<RunId, Run> runs_;
    /// Time by which some run of the minion must have ended by the rule of ClaimLimit.
    absl::Time claimsEndAt_ = absl::InfiniteFuture();
    absl::Time companyRecordedAt_ = absl::InfinitePast();
    int64_t clockMs_ = 0;
    absl::Time clockAt_;
    absl::Time leasesExpireBy_ = absl::InfinitePast();
    absl::Time leaseSentAt_ = absl::InfinitePast();
    /// Moving average of the ratio of run times to estimates.
    double slowness_ = 1;
    uint64_t recordedRunTimes_ = 0;
    /// Number of consecutive run times far above the expected ones; negative if far below.
    int consecutiveOutliers_ = 0;
};

} // namespace trefoilwing
