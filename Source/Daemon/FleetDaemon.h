#pragma once

#include "Base/Error.h"
#include "Model/FleetSettings.h"

#include <absl/time/time.h>

namespace trefoilwing {

/// A process of a fleet, whichever its role.
class FleetDaemon {
public:
    virtual ~FleetDaemon() = default;

    virtual Result<Done> start() = 0;
    /// Takes over what may change while the process runs.
    virtual void reload(const FleetSettings&) = 0;
    /// Hands over and finishes what was taken.
    virtual void drain() = 0;
    virtual void stop() = 0;
};

} // namespace trefoilwing
