#pragma once

#include "Ctl/ServiceLevelReport.h"

#include <ostream>
#include <string>

namespace trefoilwing {

/// Writes the report as text tables.
void writeReportText(const ServiceLevelReport&, std::ostream&);

/// Format the report's values; shared by the text and the HTML report.
std::string percentText(double share);
std::string rateText(double);
std::string durationText(absl::Duration);
std::string ratioText(const std::optional<double>&);

} // namespace trefoilwing
