#pragma once

#include "Model/Evacuation.h"
#include "Model/Routing.h"
#include "Model/Runs.h"

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <vector>

namespace trefoilwing {

/// Makes an entry the owner of a cell: the only one that may send orders
/// to its minions. Granted through the keepers' log.
struct CellGrant {
    CellId cell;
    DaemonRun owner;
    OwnerEpoch epoch;

    friend bool operator==(const CellGrant&, const CellGrant&) = default;
};

/// The number of a job's tasks that are assigned to one cell.
struct CellShare {
    CellGrant grant;
    uint32_t taskCount = 0;

    friend bool operator==(const CellShare&, const CellShare&) = default;
};

/// The time at which a cell's owner sent a report of its load. Entries return it with their messages, so that the owner
/// knows how old these are at most, however long they were on the way.
struct OwnerStamp {
    /// The owner's process. 0 stands for entries of earlier versions, which return no stamp and claim all their jobs.
    Incarnation owner;
    /// On the owner's clock.
    absl::Time sentAt;

    friend bool operator==(const OwnerStamp&, const OwnerStamp&) = default;
};

/// The offers that an entry still holds for callers who wait, among those that it has made to one owner.
struct JobClaims {
    /// From the newest load report that the entry had read from the owner.
    OwnerStamp stamp;
    std::vector<uint64_t> offerNumbers;

    friend bool operator==(const JobClaims&, const JobClaims&) = default;
};

/// A daemon's periodic message that it is alive, sent to the keepers and to the owners of cells.
struct DaemonHeartbeat {
    DaemonRun run;
    DataCentreId dataCentre;
    bool isEntry = false;
    bool isDraining = false;
    RoutingVersion routing;
    /// Acknowledges the receiver's updates: the receiver's incarnation and
    /// the number of the last update received from it.
    Incarnation ackedKeeper;
    uint64_t ackedUpdate = 0;
    /// The sender's processor capacity in thousandths of a core; 0 if unknown.
    uint32_t milliCores = 0;
    /// The sender's jobs at the receiver; unset if the sender can't claim any.
    std::optional<JobClaims> claims = JobClaims {};
    /// Whether updates of the receiver after ackedUpdate were lost; they are sent again at once.
    bool lacksUpdates = false;

    friend bool operator==(const DaemonHeartbeat&, const DaemonHeartbeat&) = default;
};

/// What a keeper knows about another daemon.
struct DaemonInfo {
    DaemonRun run;
    DataCentreId dataCentre;
    bool isEntry = false;
    bool isDraining = false;

    friend bool operator==(const DaemonInfo&, const DaemonInfo&) = default;
};

/// The changes in a keeper's state that the receiver hasn't acknowledged yet.
struct FleetUpdate {
    Incarnation keeper;
    /// Whether the keeper is the leader. The leader assigns owners, so it needs heartbeats sooner than other keepers.
    bool isLeading = false;
    /// The number of the keeper's latest change, which the receiver acknowledges.
    uint64_t number = 0;
    /// Changes up to this number are left out, as the receiver has acknowledged them.
    uint64_t since = 0;
    /// Sent by earlier versions only; see `table`.
    std::optional<RoutingDocument> routing;
    std::vector<CellGrant> grants;
    std::vector<MinionReport> minions;
    /// Minion instances that have left or were replaced.
    std::vector<MinionInstance> gone;
    /// All daemons whose heartbeats reach the keeper; only set if the receiver can't have the list yet.
    std::optional<std::vector<DaemonInfo>> daemons;
    /// Daemons that are new or whose attributes have changed, if the list isn't sent whole.
    std::vector<DaemonInfo> changedDaemons;
    /// Daemons that are no longer tracked, if the list isn't sent whole.
    std::vector<DaemonId> lostDaemons;
    /// The highest epoch of the grants that the keeper knows.
    OwnerEpoch newestGrant;
    /// The routing table, decoded by the keeper: entries have far smaller processors, and the operator's text is larger.
    std::optional<RoutingTable> table;
    /// Evacuations that have begun or ended.
    std::vector<Evacuation> evacuations;
    /// Whether the keeper has restarted so recently that minions which its earlier process knew may not have reported again.
    bool awaitsReports = false;

    friend bool operator==(const FleetUpdate&, const FleetUpdate&) = default;
};

/// The load of a cell. Its owner sends this to all entries, which also learn from it who the owner is.
struct CellLoad {
    CellGrant grant;
    /// Total capacity of the minions in use, in thousandths of a core.
    int64_t totalMilliCores = 0;
    int64_t freeMilliCores = 0;
    /// Number of tasks waiting for resources, by the priority of their route.
    /// The last element includes all lower priorities.
    std::vector<uint32_t> queuedTasks;
    /// Expected number of completions each second among the tasks that run now.
    double completionsPerSecond = 0;
    /// On the owner's clock, for the stamps that entries return.
    absl::Time sentAt;

    friend bool operator==(const CellLoad&, const CellLoad&) = default;
};

/// Asks the owner of a cell to run a job, or as many of its tasks as the cell has resources for.
struct JobOffer {
    CellId cell;
    JobKey job;
    /// The id of the caller's request, for the log.
    std::string requestId;
    /// Number of the offer at its sender, so that an answer is matched to the offer that it is for. A part that is
    /// offered again gets another number.
    uint64_t offerNumber = 0;
    RouteName route;
    /// The index of the first task offered; the indexes of the others follow.
    uint32_t firstTask = 0;
    uint32_t taskCount = 0;
    ResourceVector need;
    /// The caller's rough estimate of the run time of one task.
    absl::Duration estimate;
    std::string spec;
    /// Time left until the job misses its latency target.
    absl::Duration untilLate;
    /// Time left until the caller stops waiting for the answer.
    absl::Duration untilTimeout;
    uint32_t priority = 0;
    uint32_t maxAttempts = 1;
    /// Whether an earlier owner of the cell may have started tasks of this offer.
    bool isTakeover = false;
    /// From the newest load report that the sender had read from the receiver; unset if it had read none.
    std::optional<OwnerStamp> stamp = OwnerStamp {};
    /// The grant by which the receiver is the owner; 0 if the sender is of an earlier version and doesn't say.
    OwnerEpoch epoch;

    friend bool operator==(const JobOffer&, const JobOffer&) = default;
};

/// Cancels an offered job, because its caller no longer waits for it.
struct JobCancel {
    CellId cell;
    JobKey job;
    uint64_t offerNumber = 0;

    friend bool operator==(const JobCancel&, const JobCancel&) = default;
};

enum class JobEnd {
    Completed,
    /// A task failed as often as its route allows.
    Failed,
    /// None of its tasks ran or will run: it couldn't end in time, or was cancelled before any task started.
    Rejected,
    /// No minion is large enough for its tasks; none of them ran.
    Impossible,
    /// Its runs are stopped: it can't end in time, was cancelled or resubmitted, or its entry was lost or restarted.
    GivenUp,
};

/// Why the owner of a cell rejected a job.
enum class RejectionReason {
    /// The owner is of an earlier version, or the result isn't a rejection.
    Unstated,
    /// The wait that the owner expected at the job's arrival was too long.
    ExpectedWait,
    /// The job waited until it couldn't end in time any more.
    OutOfTime,
    /// The cell's data centre is evacuated.
    Evacuated,
    /// The daemon that was offered the job doesn't own the cell.
    NoGrant,
};

/// The final message of a cell's owner about a job.
struct JobResult {
    JobKey job;
    uint64_t offerNumber = 0;
    JobEnd end = JobEnd::Completed;
    /// Only for Rejected: the time after which the caller may retry.
    absl::Duration retryAfter;
    /// For the log: the time from the job's arrival to the start of its first task.
    absl::Duration queued;
    /// Only for Rejected.
    RejectionReason reason = RejectionReason::Unstated;

    friend bool operator==(const JobResult&, const JobResult&) = default;
};

} // namespace trefoilwing
