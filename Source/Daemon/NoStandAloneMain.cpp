#include "Daemon/ExitStatus.h"
#include "Daemon/StandAloneMain.h"

#include <iostream>

namespace trefoilwing {

int runStandAlone(const std::string&)
{
    std::cerr << "trefoilwing: this build serves fleets only; use --fleet FILE, or build with TREFOILWING_STAND_ALONE\n";
    return exitUsage;
}

} // namespace trefoilwing
