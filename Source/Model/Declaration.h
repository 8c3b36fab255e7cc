#pragma once

#include "Model/Identifiers.h"
#include "Model/MinionMessages.h"
#include "Model/Units.h"

#include <absl/time/time.h>

#include <vector>

namespace trefoilwing {

/// A backer's part of a service.
struct BackerDeclaration {
    BackerId backer;
    /// Its share of the service's slots, relative to the other backers' shares.
    uint32_t quota = 1;
    /// The data centre that keeps the ledger of this backer's submissions.
    DataCentreId home;

    friend bool operator==(const BackerDeclaration&, const BackerDeclaration&) = default;
};

/// A kind of task that a service's submissions may hold.
struct TaskKindDeclaration {
    TaskKindId kind;
    /// What the operators expect; often far off, so only a first guess.
    absl::Duration expectedRunTime;
    bool isIdempotent = false;
    /// What a minion must offer for one task of this kind.
    Resources needs;

    friend bool operator==(const TaskKindDeclaration&, const TaskKindDeclaration&) = default;
};

/// The service-level objective: this share of requests answered whole within the time.
struct ServiceLevelObjective {
    double share = 0.99;
    absl::Duration within = absl::Seconds(2);

    friend bool operator==(const ServiceLevelObjective&, const ServiceLevelObjective&) = default;
};

/// One service, as its operators declare it in a file beside its code.
struct ServiceDeclaration {
    ServiceId service;
    std::vector<BackerDeclaration> backers;
    std::vector<TaskKindDeclaration> kinds;
    /// The deadline of submissions that bring none.
    absl::Duration defaultDeadline = absl::Seconds(30);
    /// How long outcomes are kept for resubmissions.
    absl::Duration retention = absl::Hours(1);
    uint32_t maxTasks = 2000;
    Bytes maxPayload { 65536 };
    ServiceLevelObjective objective;

    friend bool operator==(const ServiceDeclaration&, const ServiceDeclaration&) = default;
};

/// All declarations in force, under one version.
struct Configuration {
    ConfigurationVersion version;
    std::vector<ServiceDeclaration> services;

    friend bool operator==(const Configuration&, const Configuration&) = default;
};

} // namespace trefoilwing
