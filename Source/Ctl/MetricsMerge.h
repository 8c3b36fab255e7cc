#pragma once

#include "Model/MetricsSnapshot.h"

#include <vector>

namespace trefoilwing {

/// Adds up what several daemons have measured. Gauges are left out, since their sum says little.
MetricsSnapshot mergeSnapshots(const std::vector<MetricsSnapshot>&);

} // namespace trefoilwing
