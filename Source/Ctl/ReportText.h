#pragma once

#include "Ctl/ServiceLevelReport.h"

#include <ostream>
#include <string>

namespace trefoilwing {

/// Writes the report as a table of text.
void writeReportText(const ServiceLevelReport&, std::ostream&);

/// The wording of the report's values, the same in the text and on the page.
std::string percentText(double share);
std::string rateText(double);
std::string durationText(absl::Duration);
std::string ratioText(const std::optional<double>&);

} // namespace trefoilwing
