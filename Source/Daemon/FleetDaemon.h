#pragma once

#include "Base/Error.h"
#include "Model/FleetSettings.h"

#include <absl/time/time.h>

namespace trefoilwing {

/// A process of a fleet: an entry or a keeper.
class FleetDaemon {
public:
    virtual ~FleetDaemon() = default;

    virtual Result<Done> start() = 0;
    /// Applies the settings that may change while the process runs.
    virtual void reload(const FleetSettings&) = 0;
    /// Hands over what this process owns and finishes the work it has accepted.
    virtual void drain() = 0;
    virtual void stop() = 0;
};

} // namespace trefoilwing
