#pragma once

#include <string>

namespace trefoilwing {

/// Runs a daemon with an interface of its own until it is told to stop.
/// @return the program's exit status.
int runStandAlone(const std::string& settingsFile);

} // namespace trefoilwing
