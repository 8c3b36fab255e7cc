#pragma once

#include "Ctl/ServiceLevelReport.h"

#include <string>

namespace trefoilwing {

/// @return the report as a self-contained HTML page, without references to other files.
std::string reportHtml(const ServiceLevelReport&);

} // namespace trefoilwing
