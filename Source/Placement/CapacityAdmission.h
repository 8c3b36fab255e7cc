#pragma once

#include "Placement/AdmissionPolicy.h"
#include "Placement/RetrySchedule.h"

#include <absl/container/flat_hash_map.h>

namespace trefoilwing {

/// Accepts a job if it can start at once, or if a forecast of the cell expects it to end by its latency objective.
class CapacityAdmission : public AdmissionPolicy {
public:
    CapacityAdmission(const DispatchPolicy&, absl::Time now);

    void jobArrived(const JobOffer&, absl::Time now) override;
    AdmissionDecision decide(const CellState&, CellJob&) override;
    std::vector<JobWithdrawal> review(const CellState&, bool isUrgent) override;
    absl::Duration retryAfter(const CellState&, const CellJob&, absl::Duration wait, Random&) override;
    int64_t usableMilliCores(int64_t capacity) const override { return model_.usableMilliCores(capacity); }
    int64_t startableMilliCores(int64_t free) const override { return model_.startableMilliCores(free); }

private:
    /// @return the time after which a job's work, and what goes before it, is done, by the rates of the last second.
    absl::Duration backlogTime(const CellState&, const CellJob&) const;
    /// @return the work that the cell has left for a priority, in core-seconds per second.
    double rateLeftFor(const CellState&, uint32_t priority) const;
    /// @return whether a job is accepted because its route has been starved; it is placed first then.
    bool endsStarvation(const CellState&, CellJob&);
    static void withdrawTimedOutRuns(const CellState&, std::vector<JobWithdrawal>&);

    const DispatchPolicy& policy_;
    CapacityModel model_;
    RetrySchedule retries_;
    /// When a job of a route could last start at once or was placed first; at the latest when its first job had to wait.
    absl::flat_hash_map<RouteName, absl::Time> servedAt_;
    absl::Time reviewedAt_ = absl::InfinitePast();
};

} // namespace trefoilwing
