#pragma once

#include "Model/MetricsSnapshot.h"

#include <string>

namespace trefoilwing {

/// @return a snapshot in Prometheus' text format, names prefixed with "trefoilwing_" and times in seconds.
/// Histograms have one bucket for each quarter of a decade.
std::string prometheusText(const MetricsSnapshot&);

} // namespace trefoilwing
