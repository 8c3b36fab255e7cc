#pragma once

#include "Base/Error.h"
#include "Model/Settings.h"

#include <string>

namespace trefoilwing {

/// Reads the settings of one daemon.
///
/// The file names the daemon and lists all daemons under "peers"; the daemon's own data centre,
/// addresses and roles come from its entry there, so that no two places can disagree.
/// @return the settings, or an error that holds every fault with file, line, key and cure.
Result<DaemonSettings> loadSettings(const std::string& path);

/// Does the same for a text.
/// @param file the name that faults are reported under.
Result<DaemonSettings> parseSettings(const std::string& text, const std::string& file);

} // namespace trefoilwing
