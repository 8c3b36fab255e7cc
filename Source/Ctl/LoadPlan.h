#pragma once

#include "Model/Declaration.h"
#include "Ports/Random.h"

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace trefoilwing {

/// How much is sent, and when.
struct LoadShape {
    /// Requests and jobs that arrive in a second, outside the crest.
    double rate = 20;
    absl::Duration duration = absl::Seconds(10);
    /// The rate is this many times as high in the middle fifth of the duration.
    double crest = 1;
    /// The share of arrivals that are jobs of several tasks.
    double jobShare = 0.2;
    uint32_t tasksInJob = 20;
    uint64_t maxArrivals = 100000;
};

/// One request or job to be sent.
struct LoadItem {
    /// Since the start of the load.
    absl::Duration at;
    ServiceId service;
    BackerId backer;
    TaskKindId kind;
    bool isIdempotent = false;
    bool isJob = false;
    /// A caller's id, unique in the load.
    CallerKey key;
    absl::Duration deadline;
    ServiceLevelObjective objective;
    std::vector<std::string> payloads;
    /// How long its longest task runs: the response that no dispatcher can beat.
    absl::Duration ideal;
};

/// Plans arrivals without regard to answers (an open loop), at random over services, backers by quota, and kinds.
/// Payloads are those of the stand-in minion: {"run_ms":50}.
/// @param keyPrefix tells this load's ids from those of other loads.
std::vector<LoadItem> planLoad(const std::vector<ServiceDeclaration>&, const LoadShape&, const std::string& keyPrefix, Random&);

} // namespace trefoilwing
