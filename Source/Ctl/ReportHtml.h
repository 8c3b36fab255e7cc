#pragma once

#include "Ctl/ServiceLevelReport.h"

#include <string>

namespace trefoilwing {

/// @return the report as one HTML page that needs nothing else.
std::string reportHtml(const ServiceLevelReport&);

} // namespace trefoilwing
