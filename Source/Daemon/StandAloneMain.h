#pragma once

#include <string>

namespace trefoilwing {

/// Runs a stand-alone daemon, with trefoilwing's own HTTP interface, until SIGTERM or SIGINT, and then drains it.
/// @return the program's exit status.
int runStandAlone(const std::string& settingsFile);

} // namespace trefoilwing
