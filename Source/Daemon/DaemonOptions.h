#pragma once

#include "Base/Error.h"

#include <string>

namespace trefoilwing {

/// The options of the daemon's command line.
struct DaemonOptions {
    std::string settingsFile;
    /// Set instead of settingsFile for an entry or a keeper of a fleet.
    std::string fleetSettingsFile;
    bool wantsHelp = false;
    bool wantsVersion = false;
};

/// Parses the command line with getopt_long.
/// @return the options, or an error for the user.
Result<DaemonOptions> parseDaemonOptions(int argc, char** argv);

/// @return the text of --help, generated from the table of options.
std::string daemonHelp();

} // namespace trefoilwing
