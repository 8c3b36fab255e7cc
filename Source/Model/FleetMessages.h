#pragma once

#include "Model/Routing.h"
#include "Model/Runs.h"

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <vector>

namespace trefoilwing {

/// Who may give orders in a cell, as the keepers' log granted it.
struct CellGrant {
    CellId cell;
    DaemonRun owner;
    OwnerEpoch epoch;

    friend bool operator==(const CellGrant&, const CellGrant&) = default;
};

/// The tasks of a job that one cell is to run.
struct CellShare {
    CellGrant grant;
    uint32_t taskCount = 0;

    friend bool operator==(const CellShare&, const CellShare&) = default;
};

/// A daemon's regular sign of life, to the keepers and to the owners of cells.
struct DaemonHeartbeat {
    DaemonRun run;
    DataCentreId dataCentre;
    bool isEntry = false;
    bool isDraining = false;
    RoutingVersion routing;
    /// What the sender has of the receiver's news: the receiver's run and the number of its latest news.
    Incarnation ackedKeeper;
    uint64_t ackedUpdate = 0;
    /// The processor that the sender has, in thousandths of a core; 0 where it doesn't say.
    uint32_t milliCores = 0;

    friend bool operator==(const DaemonHeartbeat&, const DaemonHeartbeat&) = default;
};

/// Another daemon as a keeper knows it.
struct DaemonInfo {
    DaemonRun run;
    DataCentreId dataCentre;
    bool isEntry = false;
    bool isDraining = false;

    friend bool operator==(const DaemonInfo&, const DaemonInfo&) = default;
};

/// What a keeper knows and the receiver doesn't yet.
struct FleetUpdate {
    Incarnation keeper;
    /// Whether the keeper assigns owners, and so needs signs of life sooner than the others.
    bool isLeading = false;
    /// Numbers the keeper's changes, so that the receiver can say what it has.
    uint64_t number = 0;
    /// The changes up to this number are left out, as the receiver said that it has them.
    uint64_t since = 0;
    std::optional<RoutingDocument> routing;
    std::vector<CellGrant> grants;
    std::vector<MinionReport> minions;
    /// Lives that have left or were replaced.
    std::vector<MinionInstance> gone;
    /// All daemons that the keeper hears, where that has changed.
    std::optional<std::vector<DaemonInfo>> daemons;

    friend bool operator==(const FleetUpdate&, const FleetUpdate&) = default;
};

/// How busy a cell is, told by its owner to all entries, which may learn from it who the owner is.
struct CellLoad {
    CellGrant grant;
    /// Of the minions in use.
    int64_t totalMilliCores = 0;
    int64_t freeMilliCores = 0;
    /// How many tasks wait for room, by the priority of their routes; the last counts all lower ones too.
    std::vector<uint32_t> queuedTasks;
    /// How many of the tasks that run now are expected to end each second.
    double completionsPerSecond = 0;

    friend bool operator==(const CellLoad&, const CellLoad&) = default;
};

/// Asks the owner of a cell to run a job, or the part of its tasks that the cell has room for.
struct JobOffer {
    CellId cell;
    JobKey job;
    /// For the log.
    std::string requestId;
    /// Numbers the offers of the sender, so that an answer finds the life of the job that it is for.
    uint64_t offerNumber = 0;
    RouteName route;
    /// The index of the first task offered; the others follow it.
    uint32_t firstTask = 0;
    uint32_t taskCount = 0;
    ResourceVector need;
    /// The caller's rough estimate of one task's run time.
    absl::Duration estimate;
    std::string spec;
    /// Time left until the job is late.
    absl::Duration untilLate;
    /// Time left until nobody waits for the answer.
    absl::Duration untilTimeout;
    uint32_t priority = 0;
    uint32_t maxAttempts = 1;
    /// Whether an earlier owner may have started tasks of this life.
    bool isTakeover = false;

    friend bool operator==(const JobOffer&, const JobOffer&) = default;
};

/// Nobody waits for the job any more.
struct JobCancel {
    CellId cell;
    JobKey job;
    uint64_t offerNumber = 0;

    friend bool operator==(const JobCancel&, const JobCancel&) = default;
};

enum class JobEnd {
    Completed,
    /// A task failed as often as the route allows.
    Failed,
    /// Nothing of it ran or will run; there is no time left for it.
    Rejected,
    /// No minion could ever hold its tasks; nothing of it ran.
    Impossible,
    /// It began and can't end in time; its runs are stopped.
    GivenUp,
};

/// The owner's last word on a job.
struct JobResult {
    JobKey job;
    uint64_t offerNumber = 0;
    JobEnd end = JobEnd::Completed;
    /// When it may be worth coming back, for Rejected.
    absl::Duration retryAfter;
    /// For the log: how long the job waited for its first start.
    absl::Duration queued;

    friend bool operator==(const JobResult&, const JobResult&) = default;
};

} // namespace trefoilwing
