#pragma once

#include "Model/MetricsSnapshot.h"

#include <string>

namespace trefoilwing {

/// @return the snapshot in Prometheus' text format, with names prefixed by "trefoilwing_" and times in seconds.
/// Histograms have four buckets per decade.
std::string prometheusText(const MetricsSnapshot&);

} // namespace trefoilwing
