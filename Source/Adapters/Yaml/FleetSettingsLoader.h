#pragma once

#include "Base/Error.h"
#include "Model/FleetSettings.h"

#include <string>

namespace trefoilwing {

/// Reads the settings of a process of a fleet.
/// @return the settings, or an error that names file, line, key and cure of every fault.
Result<FleetSettings> loadFleetSettings(const std::string& path);

/// @param file the name that errors give.
Result<FleetSettings> parseFleetSettings(const std::string& text, const std::string& file);

} // namespace trefoilwing
