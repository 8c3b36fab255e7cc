#pragma once

#include "Model/Identifiers.h"
#include "Model/MinionMessages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace trefoilwing {

/// The settings that a daemon of a fleet reads at startup. Its address is also its daemon id.
struct FleetSettings {
    /// Name of the process in the log. It has no other use.
    std::string node;
    std::string address;
    DataCentreId dataCentre;
    /// The port on which daemons accept connections from each other; it is the same on all machines.
    uint32_t peerPort = 0;
    /// Some of the keepers; the daemon learns the others from these.
    std::vector<Endpoint> seeds;
    /// The endpoint for callers. Only entries have one.
    std::optional<Endpoint> callers;
    std::optional<Endpoint> readiness;
    /// The endpoint for minions and operators. Only keepers have one.
    std::optional<Endpoint> control;
    /// The number of cores that the process may use; may be a fraction.
    double cores = 1;
    /// The memory that the process may use, in megabytes.
    uint32_t memoryMb = 256;
    /// Maximum number of descriptors that the process may have open; 0 if only the system limits it.
    uint32_t maxDescriptors = 0;
    /// The port on which metrics are served; 0 disables it.
    uint32_t metricsPort = 0;
    /// The folder of the stored data. Only keepers have one.
    std::string dataFolder;
    /// Whether the fleet is being founded, that is, started for the first time with empty disks.
    bool isFounding = false;
    /// Minimum time, in milliseconds, after which a caller that got no answer submits its job again.
    double resubmitMs = 1300;
    /// Interval, in milliseconds, at which minions report.
    double minionReportMs = 1500;
    /// Time, in seconds, after which a keeper that takes the place of another one must have done so: another disk may be
    /// lost then.
    double catchUpSeconds = 4;
    /// Maximum number of keepers' disks that may be lost at the same time without loss of data.
    uint32_t lostDisks = 1;
    /// Whether owners keep tasks apart that slow each other down on one minion.
    bool avoidsInterference = false;
    /// Time, in milliseconds, within which the evacuation of a data centre must be in force everywhere; 0 if operators can't
    /// order evacuations.
    double evacuationMs = 0;
    /// The data centres of the fleet, which operators may evacuate.
    std::vector<DataCentreId> dataCentres;
    /// Maximum number of further cells that an entry offers a rejected part of a job to.
    uint32_t secondChoices = 0;
    /// Maximum number of tasks of a job.
    uint32_t maxJobTasks = 10000;

    friend bool operator==(const FleetSettings&, const FleetSettings&) = default;
};

} // namespace trefoilwing
