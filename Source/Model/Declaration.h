#pragma once

#include "Model/Identifiers.h"
#include "Model/MinionMessages.h"
#include "Model/Units.h"

#include <absl/time/time.h>

#include <vector>

namespace trefoilwing {

/// The settings of one backer of a service.
struct BackerDeclaration {
    BackerId backer;
    /// Weight of the backer's share of the service's slots, relative to the other backers' weights.
    uint32_t quota = 1;
    /// The data centre that stores the ledger of this backer's submissions.
    DataCentreId home;

    friend bool operator==(const BackerDeclaration&, const BackerDeclaration&) = default;
};

/// A kind of task that submissions to a service may contain.
struct TaskKindDeclaration {
    TaskKindId kind;
    /// The operators' estimate. It is often far off, so it is only used until run times are measured.
    absl::Duration expectedRunTime;
    bool isIdempotent = false;
    /// The resources that a minion must have for one task of this kind.
    Resources needs;

    friend bool operator==(const TaskKindDeclaration&, const TaskKindDeclaration&) = default;
};

/// The service-level objective: the share of requests that must get a complete answer within the time.
struct ServiceLevelObjective {
    double share = 0.99;
    absl::Duration within = absl::Seconds(2);

    friend bool operator==(const ServiceLevelObjective&, const ServiceLevelObjective&) = default;
};

/// The declaration of one service. Operators keep it in a file next to the service's code.
struct ServiceDeclaration {
    ServiceId service;
    std::vector<BackerDeclaration> backers;
    std::vector<TaskKindDeclaration> kinds;
    /// The time until the deadline of submissions that state no deadline.
    absl::Duration defaultDeadline = absl::Seconds(30);
    /// How long the outcome of a submission is kept, so that resubmissions get the same outcome.
    absl::Duration retention = absl::Hours(1);
    uint32_t maxTasks = 2000;
    Bytes maxPayload { 65536 };
    ServiceLevelObjective objective;

    friend bool operator==(const ServiceDeclaration&, const ServiceDeclaration&) = default;
};

/// One version of all declarations in force.
struct Configuration {
    ConfigurationVersion version;
    std::vector<ServiceDeclaration> services;

    friend bool operator==(const Configuration&, const Configuration&) = default;
};

} // namespace trefoilwing
