#pragma once

#include "Model/Identifiers.h"
#include "Model/MinionMessages.h"
#include "Model/Units.h"

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace trefoilwing {

/// Another daemon, or this one, as every daemon's settings list it.
struct PeerSettings {
    DaemonId daemon;
    DataCentreId dataCentre;
    /// Where it listens for the other daemons.
    Endpoint peerEndpoint;
    /// Where it listens for callers, minions and operators.
    Endpoint httpEndpoint;
    bool isEntry = true;
    bool isKeeper = false;

    friend bool operator==(const PeerSettings&, const PeerSettings&) = default;
};

/// What one daemon's process reads at its start.
struct DaemonSettings {
    DaemonId daemon;
    DataCentreId dataCentre;
    Endpoint peerEndpoint;
    Endpoint httpEndpoint;
    bool isEntry = true;
    bool isKeeper = false;
    /// Empty on a VM without a disk.
    std::string dataFolder;
    /// Empty: the log goes to standard error.
    std::string logFolder;
    /// Connections from callers and minions that are served at once.
    uint32_t maxConnections = 256;
    Bytes maxRequestBody { 64U << 20U };
    /// How long a ledger that is founded anew answers "may have run" for submissions that it doesn't know.
    /// At least the longest retention; zero only for the first start of a system that never ran.
    absl::Duration claimGuard = absl::Hours(1);
    /// Every daemon of the system, this one included.
    std::vector<PeerSettings> peers;

    friend bool operator==(const DaemonSettings&, const DaemonSettings&) = default;
};

} // namespace trefoilwing
