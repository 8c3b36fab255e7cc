#pragma once

#include "Placement/CapacityModel.h"

#include <optional>
#include <queue>
#include <vector>

namespace trefoilwing {

/// Plays the placement of queued and expected jobs forward in time, on the minions of a cell with their runs.
///
/// It places by rank whatever fits as cores become free, like the dispatcher, and drops a job once it can't end by its
/// limit any more. It changes nothing in the cell.
class PlacementForecast {
public:
    PlacementForecast(const MinionTable&, const DispatchPolicy&, absl::Time now);

    /// Adds a job's queued tasks.
    /// @param limit the time by which the job has to end.
    void add(CellJob&, double rank, absl::Time limit);
    /// Adds jobs that are expected to arrive at a steady rate, like those that arrived last.
    void addArrivals(const std::vector<JobArrival>& last, double jobsPerSecond, const JobOrder&, absl::Time now);

    /// Plays until each added job is placed or dropped.
    std::vector<JobForecast> run();
    /// Plays until one of the added jobs is placed or dropped.
    JobForecast runFor(const CellJob&);

private:
    struct Waiting {
        double rank = 0;
        ResourceVector need;
        size_t tasks = 0;
        absl::Duration estimate;
        absl::Time lateAt;
        absl::Time limit;
        /// Index of the forecast; unset for an expected job.
        std::optional<size_t> forecast {};
    };
    struct Place {
        ResourceVector free;
        double slowness = 1;
    };
    struct Release {
        absl::Time at;
        size_t place = 0;
        ResourceVector need;

        friend bool operator>(const Release& a, const Release& b) { return a.at > b.at; }
    };
    /// Expected jobs of one priority.
    struct Stream {
        const std::vector<JobArrival>* last = nullptr;
        absl::Duration interval;
        /// Rank of a job of this priority at its arrival, less its slack.
        double rankBase = 0;
        absl::Time nextAt;
        size_t next = 0;
    };

    void play();
    bool isSettled() const;
    void fill(size_t place, absl::Time at);
    void fillAll(absl::Time at);
    void arrive(Stream&);
    bool waitsForFaster(const Waiting&, const Place&, absl::Time at) const;
    void insert(const Waiting&);
    void drop(const Waiting&);
    /// Records that an added job is placed completely or dropped.
    void settle(size_t forecast);

    const DispatchPolicy& policy_;
    const absl::Time now_;
    std::vector<Place> places_;
    double fastest_ = 0;
    std::priority_queue<Release, std::vector<Release>, std::greater<>> releases_;
    std::vector<Stream> streams_;
    /// By rank.
    std::vector<Waiting> waiting_;
    std::vector<JobForecast> forecasts_;
    /// Number of added jobs that are neither placed nor dropped.
    size_t open_ = 0;
    /// Index of the forecast to wait for; unset for all.
    std::optional<size_t> target_;
    bool isTargetOpen_ = true;
    int64_t minMilliCores_ = 0;
};

} // namespace trefoilwing
