#pragma once

#include "Model/MetricsSnapshot.h"

#include <vector>

namespace trefoilwing {

/// Sums the counters, latency histograms and service levels of several daemons. Gauges are omitted, since their sum
/// has little meaning.
MetricsSnapshot mergeSnapshots(const std::vector<MetricsSnapshot>&);

} // namespace trefoilwing
