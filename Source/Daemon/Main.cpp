#include "Daemon/DaemonOptions.h"
#include "Daemon/ExitStatus.h"
#include "Daemon/FleetMain.h"
#include "Daemon/StandAloneMain.h"

#include <iostream>

namespace trefoilwing {

namespace {

    constexpr char version[] = "0.1";
    int runMain(int argc, char** argv)
    {
        const Result<DaemonOptions> options = parseDaemonOptions(argc, argv);
        if (const Error* error = errorOf(options)) {
            std::cerr << "trefoilwing: " << error->message << "\n";
            return exitUsage;
        }
        if (valueOf(options)->wantsHelp || valueOf(options)->wantsVersion) {
            std::cout << (valueOf(options)->wantsHelp ? daemonHelp() : std::string("trefoilwing ") + version + "\n");
            return 0;
        }
        if (!valueOf(options)->fleetSettingsFile.empty())
            return runFleet(valueOf(options)->fleetSettingsFile);
        return runStandAlone(valueOf(options)->settingsFile);
    }

} // namespace

} // namespace trefoilwing

int main(int argc, char** argv)
{
    return trefoilwing::runMain(argc, argv);
}
