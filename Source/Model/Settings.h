#pragma once

#include "Model/Identifiers.h"
#include "Model/MinionMessages.h"
#include "Model/Units.h"

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace trefoilwing {

/// A daemon in the list of all daemons, which is the same in every daemon's settings.
struct PeerSettings {
    DaemonId daemon;
    DataCentreId dataCentre;
    /// The endpoint on which it accepts connections from other daemons.
    Endpoint peerEndpoint;
    /// The endpoint on which it accepts connections from callers, minions and operators.
    Endpoint httpEndpoint;
    bool isEntry = true;
    bool isKeeper = false;

    friend bool operator==(const PeerSettings&, const PeerSettings&) = default;
};

/// The settings that a daemon reads at startup.
struct DaemonSettings {
    DaemonId daemon;
    DataCentreId dataCentre;
    Endpoint peerEndpoint;
    Endpoint httpEndpoint;
    bool isEntry = true;
    bool isKeeper = false;
    /// Folder of the stored data; empty on a VM without a disk.
    std::string dataFolder;
    /// Folder of the log files; if empty, the log is written to standard error.
    std::string logFolder;
    /// Maximum number of concurrent connections from callers and minions.
    uint32_t maxConnections = 256;
    Bytes maxRequestBody { 64U << 20U };
    /// How long a ledger that was founded again answers "may have run" for unknown submissions.
    /// It must be at least the longest retention. It may be zero only at the first start of a system that never ran.
    absl::Duration claimGuard = absl::Hours(1);
    /// All daemons of the system, including this one.
    std::vector<PeerSettings> peers;

    friend bool operator==(const DaemonSettings&, const DaemonSettings&) = default;
};

} // namespace trefoilwing
