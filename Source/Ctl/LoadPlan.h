#pragma once

#include "Model/Declaration.h"
#include "Ports/Random.h"

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace trefoilwing {

/// The rate, duration and mix of a generated load.
struct LoadShape {
    /// Arrivals (requests and jobs) per second outside the peak.
    double rate = 20;
    absl::Duration duration = absl::Seconds(10);
    /// Multiplies the rate during the peak, which is the middle fifth of the duration.
    double peakFactor = 1;
    /// Share of arrivals that are jobs of several tasks, from 0 to 1.
    double jobShare = 0.2;
    uint32_t tasksPerJob = 20;
    uint64_t maxArrivals = 100000;
};

/// One request or job of a generated load.
struct LoadItem {
    /// Planned arrival time, relative to the start of the load.
    absl::Duration at;
    ServiceId service;
    BackerId backer;
    TaskKindId kind;
    bool isIdempotent = false;
    bool isJob = false;
    /// The caller's id of the submission, unique in the load.
    CallerKey key;
    absl::Duration deadline;
    ServiceLevelObjective objective;
    std::vector<std::string> payloads;
    /// Run time of its longest task, which is a lower bound of the response time.
    absl::Duration ideal;
};

/// Plans arrivals that don't depend on answers (an open-loop load). Services and kinds are chosen uniformly at random,
/// backers in proportion to their quotas. Payloads are in the format of the stand-in minion: {"run_ms":50}.
/// @param keyPrefix distinguishes this load's ids from those of other loads.
std::vector<LoadItem> planLoad(const std::vector<ServiceDeclaration>&, const LoadShape&, const std::string& keyPrefix, Random&);

} // namespace trefoilwing
