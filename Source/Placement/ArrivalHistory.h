#pragma once

#include "Placement/CellJob.h"

#include <array>
#include <cstddef>
#include <map>
#include <vector>

namespace trefoilwing {

/// What one arriving job asked for.
struct JobArrival {
    ResourceVector need;
    uint32_t taskCount = 0;
    absl::Duration estimate;
    absl::Duration untilLate;
    uint32_t priority = 0;
};

/// The jobs that arrived at a cell lately: how many each second, by priority, and what the last ones asked for.
class ArrivalHistory {
public:
    /// @param since the time from which all arrivals are recorded.
    explicit ArrivalHistory(absl::Time since)
        : since_(since)
    {
    }

    void record(const JobOffer&, absl::Time now);

    /// @return the rate of jobs of a priority over the last second, in jobs per second.
    double jobsPerSecond(uint32_t priority, absl::Time now) const;
    /// @return the last jobs of a priority, in no particular order; empty if there was none.
    const std::vector<JobArrival>& lastOf(uint32_t priority) const;
    /// @return the priorities of which jobs have arrived, most urgent first.
    std::vector<uint32_t> priorities() const;
    /// @return the last jobs of all priorities, in no particular order.
    const std::vector<JobArrival>& lastOfAll() const { return last_.jobs; }
    /// @return the number of jobs recorded.
    uint64_t count() const { return count_; }

private:
    /// The window is divided into slots that are reused in turn.
    static constexpr size_t slotCount = 10;

    /// The last jobs recorded; the oldest is overwritten.
    struct Ring {
        std::vector<JobArrival> jobs;
        size_t next = 0;

        void add(const JobArrival&);
    };
    struct Slot {
        int64_t number = 0;
        uint64_t jobs = 0;
    };
    struct ByPriority {
        Ring last;
        std::array<Slot, slotCount> slots;
    };

    const absl::Time since_;
    Ring last_;
    std::map<uint32_t, ByPriority> byPriority_;
    uint64_t count_ = 0;
};

} // namespace trefoilwing
