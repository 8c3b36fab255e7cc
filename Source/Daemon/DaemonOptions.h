#pragma once

#include "Base/Error.h"

#include <string>

namespace trefoilwing {

/// What the daemon's command line says.
struct DaemonOptions {
    std::string settingsFile;
    /// Set instead of the other for a process of a fleet.
    std::string fleetSettingsFile;
    bool wantsHelp = false;
    bool wantsVersion = false;
};

/// Reads the command line by getopt_long.
Result<DaemonOptions> parseDaemonOptions(int argc, char** argv);

/// @return the text of --help, made from the table of options.
std::string daemonHelp();

} // namespace trefoilwing
