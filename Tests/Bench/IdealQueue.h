#pragma once

#include "Bench/BenchWorkload.h"

namespace trefoilwing::bench {

/// Runs the jobs through one omniscient queue: true run times known, no message delay, the job
/// with the smallest remaining work first, its longest task on the fastest free slot.
/// @return each job's response time in seconds.
std::vector<double> idealResponses(const Scenario&, const std::vector<BenchJob>&);

} // namespace trefoilwing::bench
