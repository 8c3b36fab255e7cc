#pragma once

#include "Placement/CapacityModel.h"
#include "Ports/Random.h"

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace trefoilwing {

/// Whether an offered job is accepted.
struct AdmissionDecision {
    bool isAdmitted = true;
    /// Expected time until its first task starts, or until capacity for it is available if it isn't admitted.
    absl::Duration wait;
};

/// A job that is ended before its time.
struct JobWithdrawal {
    CellJobPtr job;
    std::string_view reason;
};

/// Strategy that decides which jobs a cell accepts and which of those it ends early, from an estimate of its capacity.
class AdmissionPolicy {
public:
    AdmissionPolicy() = default;
    virtual ~AdmissionPolicy() = default;
    AdmissionPolicy(const AdmissionPolicy&) = delete;
    AdmissionPolicy& operator=(const AdmissionPolicy&) = delete;

    /// Records what an offered job asks for. It is called once for each offer, before the decision on it.
    virtual void jobArrived(const JobOffer&, absl::Time now) = 0;
    /// Decides on an offered job that is already one of the cell's.
    virtual AdmissionDecision decide(const CellState&, CellJob&) = 0;
    /// @return the jobs that should end now, because they can't end in time any more.
    /// @param isUrgent whether more urgent work has arrived, so that the queue must be looked at again at once.
    virtual std::vector<JobWithdrawal> review(const CellState&, bool isUrgent) = 0;
    /// @return the time after which the caller of a rejected job may retry.
    /// @param wait the wait that the decision on the job expected; zero if it was accepted.
    virtual absl::Duration retryAfter(const CellState&, const CellJob&, absl::Duration wait, Random&) = 0;

    /// @return how much of a minion's capacity tasks can use, in thousandths of a core.
    virtual int64_t usableMilliCores(int64_t capacity) const = 0;
    /// @return how much of a minion's free cores the next tasks can use, in thousandths of a core.
    virtual int64_t startableMilliCores(int64_t free) const = 0;
};

/// Compares the work ahead of a job with the cell's cores, rounded down on each minion to whole tasks of average size.
class AverageWaitAdmission : public AdmissionPolicy {
public:
    explicit AverageWaitAdmission(const DispatchPolicy& policy)
        : policy_(policy)
    {
    }

    void jobArrived(const JobOffer&, absl::Time now) override;
    AdmissionDecision decide(const CellState&, CellJob&) override;
    std::vector<JobWithdrawal> review(const CellState&, bool) override { return {}; }
    absl::Duration retryAfter(const CellState&, const CellJob&, absl::Duration wait, Random&) override;
    int64_t usableMilliCores(int64_t capacity) const override;
    int64_t startableMilliCores(int64_t free) const override { return usableMilliCores(free); }

private:
    absl::Duration expectedWait(const CellState&, const CellJob&) const;

    const DispatchPolicy& policy_;
    /// Moving average of the cores that a task needs, in thousandths of a core; 0 before the first job.
    double averageMilliCores_ = 0;
};

/// @return the strategy that the policy names.
std::unique_ptr<AdmissionPolicy> makeAdmissionPolicy(const DispatchPolicy&, absl::Time now);

} // namespace trefoilwing
