#pragma once

#include <string>

namespace trefoilwing {

/// Runs a process of a fleet until it is told to stop.
/// @return the program's exit status.
int runFleet(const std::string& settingsFile);

} // namespace trefoilwing
