#pragma once

#include "Base/Error.h"
#include "Model/Settings.h"

#include <string>

namespace trefoilwing {

/// Reads the settings of one daemon.
///
/// The file names the daemon and lists all daemons under "peers"; the daemon's own data centre,
/// addresses and roles come from its item in that list, so they can't contradict it.
/// @return the settings, or an error that lists every fault with file, line, key and cure.
Result<DaemonSettings> loadSettings(const std::string& path);

/// Parses the settings from a text.
/// @param file the file name used in errors.
Result<DaemonSettings> parseSettings(const std::string& text, const std::string& file);

} // namespace trefoilwing
