#pragma once

#include <string>

namespace trefoilwing {

/// Runs an entry or a keeper of a fleet until SIGTERM or SIGINT, and then drains it.
/// @return the program's exit status.
int runFleet(const std::string& settingsFile);

} // namespace trefoilwing
