#pragma once

#include "Base/Error.h"
#include "Model/FleetSettings.h"

#include <string>

namespace trefoilwing {

/// Reads the settings of one process of a fleet.
/// @return the settings, or an error that lists every fault with file, line, key and cure.
Result<FleetSettings> loadFleetSettings(const std::string& path);

/// Parses the settings from a text.
/// @param file the file name used in errors.
Result<FleetSettings> parseFleetSettings(const std::string& text, const std::string& file);

} // namespace trefoilwing
