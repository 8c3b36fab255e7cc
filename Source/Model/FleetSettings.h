#pragma once

#include "Model/Identifiers.h"
#include "Model/MinionMessages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace trefoilwing {

/// What a process of a fleet reads at its start. Its address is its id among the daemons.
struct FleetSettings {
    /// For the log only.
    std::string node;
    std::string address;
    DataCentreId dataCentre;
    /// Where daemons listen for each other; the same port on every machine.
    uint32_t peerPort = 0;
    /// Some of the keepers; the others are learned from these.
    std::vector<Endpoint> seeds;
    /// Where callers come; an entry has it.
    std::optional<Endpoint> callers;
    std::optional<Endpoint> readiness;
    /// Where minions and operators come; a keeper has it.
    std::optional<Endpoint> control;
    /// The share of a core that the process may use.
    double cores = 1;
    /// Where metrics are read; 0 serves none.
    uint32_t metricsPort = 0;
    /// Of a keeper.
    std::string dataFolder;
    /// Whether the fleet starts for the first time, with empty disks.
    bool isFounding = false;
    /// Disks that may be lost at once.
    uint32_t lostDisks = 1;

    friend bool operator==(const FleetSettings&, const FleetSettings&) = default;
};

} // namespace trefoilwing
