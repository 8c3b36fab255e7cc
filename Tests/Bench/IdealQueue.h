#pragma once

#include "Bench/BenchWorkload.h"

namespace trefoilwing::bench {

/// Simulates an ideal scheduler: a single queue that knows the true run times and has no message delay. The job with the
/// smallest remaining work comes first, and its longest task runs on the fastest free slot.
/// @return the response time of each job in seconds.
std::vector<double> idealResponses(const Scenario&, const std::vector<BenchJob>&);

} // namespace trefoilwing::bench
