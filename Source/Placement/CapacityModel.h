#pragma once

#include "Placement/ArrivalHistory.h"
#include "Placement/JobOrder.h"
#include "Placement/MinionChooser.h"

#include <absl/container/flat_hash_map.h>

#include <limits>
#include <vector>

namespace trefoilwing {

/// What an estimate of a cell's capacity is made from.
struct CellState {
    const MinionTable& minions;
    CellJobList& jobs;
    const JobOrder& order;
    const DispatchPolicy& policy;
    absl::Time now;

    /// @return the job's sort key; the lowest is placed first.
    double rank(const CellJob& job) const { return job.isPlacedFirst ? std::numeric_limits<double>::lowest() : order.rank(job, now); }
};

/// When a job is expected to run.
struct JobForecast {
    CellJob* job = nullptr;
    /// Expected start of its first queued task; infinite future if none is expected to start in time.
    absl::Time firstStart = absl::InfiniteFuture();
    /// Expected end of its last queued task; infinite future if it isn't expected to end by its limit.
    absl::Time end = absl::InfiniteFuture();
};

/// Estimates how much work the minions of a cell can take, and when.
///
/// Tasks are placed whole, so what a minion can take depends on the sizes that occur: of tasks of 16 cores, plus or
/// minus a fifth, sometimes two and sometimes one fit 32 cores. The model therefore packs the last sizes seen instead
/// of dividing by their mean.
class CapacityModel {
public:
    CapacityModel(const DispatchPolicy&, absl::Time now);

    void jobArrived(const JobOffer&, absl::Time now);

    /// @return the cores that tasks of the last sizes keep in use on a minion while many of them are queued, in
    /// thousandths of a core.
    int64_t usableMilliCores(int64_t capacity) const;
    /// @return the cores that the next tasks take of the free ones, if they take them in the order of their arrival.
    int64_t startableMilliCores(int64_t free) const;
    /// @return the work that the cell completes, in core-seconds per second by the callers' estimates.
    double completionRate(const CellState&) const;
    /// @return the work that arrives with a priority, in core-seconds per second by the callers' estimates.
    double arrivalRate(uint32_t priority, absl::Time now) const;
    /// @return the rate of the work that a late answer to this job would displace at a loss, with the more urgent work: of
    /// jobs that need so few cores that one of them in time is worth more, in core-seconds per second.
    double competingRate(const JobOffer&, absl::Time now) const;
    /// @return the number of tasks of this size that can start at once, counted up to a limit.
    static int64_t startableTasks(const CellState&, const ResourceVector& need, int64_t limit);
    /// @return whether any minion counts as a part of the cell's capacity.
    static bool hasUsableMinion(const CellState&);

    /// Forecasts the queued jobs, with the more urgent jobs that are expected to arrive meanwhile.
    /// @return the forecasts in the order in which the jobs are placed.
    std::vector<JobForecast> forecastQueue(const CellState&) const;
    /// Forecasts one job that has just arrived.
    /// @param limit the time by which it has to end.
    JobForecast forecast(const CellState&, CellJob&, absl::Time limit) const;

private:
    /// @return the mean work of the last jobs of a priority, in core-seconds.
    double meanWork(uint32_t priority) const;
    /// @param lookahead the number of queued tasks among which one that still fits is looked for.
    int64_t packedMilliCores(int64_t capacity, size_t lookahead) const;

    const DispatchPolicy& policy_;
    ArrivalHistory history_;
    /// Sizes from the last arrivals, each as often as its share of the work.
    std::vector<int64_t> sizes_;
    /// The results of packing the sizes, by capacity; minions have only a few different ones.
    mutable absl::flat_hash_map<int64_t, int64_t> usable_;
};

} // namespace trefoilwing
