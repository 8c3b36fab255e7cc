#pragma once

#include "Base/StrongId.h"
#include "Model/Identifiers.h"
#include "Model/MinionMessages.h"
#include "Model/ResourceVector.h"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace trefoilwing {

/// A caller's id of a job.
using JobKey = StrongId<struct JobKeyTag, std::string>;

/// Number of a start of a task. A minion only accepts numbers that are higher than all it has seen for the task.
using RunNumber = StrongId<struct RunNumberTag, uint64_t>;

/// Fences the orders of earlier owners of a cell. It increases with each grant, across all cells.
using OwnerEpoch = StrongId<struct OwnerEpochTag, uint64_t>;

/// The start time of a minion's process, in milliseconds of the minion's own system time.
using MinionStartTime = StrongId<struct MinionBirthTag, uint64_t>;

/// Identifies a pool: the minions of one service in one data centre.
struct PoolId {
    ServiceId service;
    DataCentreId dataCentre;

    friend auto operator<=>(const PoolId&, const PoolId&) = default;
    friend bool operator==(const PoolId&, const PoolId&) = default;
};

/// One of the equal parts that a pool is divided into.
struct CellPart {
    uint32_t index = 0;
    /// Number of parts that the pool is divided into.
    uint32_t count = 1;

    friend auto operator<=>(const CellPart&, const CellPart&) = default;
    friend bool operator==(const CellPart&, const CellPart&) = default;
};

/// Identifies a cell: the part of a pool whose minions take orders from one entry, the cell's owner. The minions of
/// a cell are determined by the hash of their ids, so all daemons agree on them.
struct CellId {
    ServiceId service;
    DataCentreId dataCentre;
    CellPart part {};

    PoolId pool() const { return { service, dataCentre }; }

    friend auto operator<=>(const CellId&, const CellId&) = default;
    friend bool operator==(const CellId&, const CellId&) = default;

    template <typename H>
    friend H AbslHashValue(H state, const CellId& id)
    {
        return H::combine(std::move(state), id.service, id.dataCentre, id.part.index, id.part.count);
    }
};

/// @return the cell's name in the log: its data centre, followed by its part if the pool is divided.
std::string nameOf(const CellId&);

/// Identifies one run of a task.
struct RunId {
    JobKey job;
    TaskIndex task;
    RunNumber number;

    friend auto operator<=>(const RunId&, const RunId&) = default;
    friend bool operator==(const RunId&, const RunId&) = default;

    template <typename H>
    friend H AbslHashValue(H state, const RunId& id)
    {
        return H::combine(std::move(state), id.job, id.task, id.number);
    }
};

/// One instance of a minion's process. A minion that restarts keeps its id and becomes another instance.
struct MinionInstance {
    MinionId minion;
    MinionStartTime startTime;

    friend auto operator<=>(const MinionInstance&, const MinionInstance&) = default;
    friend bool operator==(const MinionInstance&, const MinionInstance&) = default;

    template <typename H>
    friend H AbslHashValue(H state, const MinionInstance& instance)
    {
        return H::combine(std::move(state), instance.minion, instance.startTime);
    }
};

/// A minion's report about itself.
struct MinionReport {
    MinionInstance instance;
    /// Sequence number of the reports of one instance.
    uint64_t sequence = 0;
    PoolId pool;
    Endpoint endpoint;
    ResourceVector capacity;
    std::vector<std::string> labels;
    MinionState state = MinionState::Serving;
    /// Whether the minion has said that it ends, or another one reports from its address. It may be up, and its tasks may run,
    /// for some seconds after that.
    bool hasLeft = false;

    friend bool operator==(const MinionReport&, const MinionReport&) = default;
};

/// Time for which a minion that has left is kept, so that new owners of its cell learn of it. One that gets no answer to its
/// message that it leaves ends some seconds later.
inline constexpr absl::Duration departureRetention = absl::Seconds(5);

/// @return whether the minion belongs to the cell.
bool isInCell(const MinionReport&, const CellId&);

/// @return whether a report is newer than the known one: it is from a later instance, or a later report of the same instance.
/// That an instance has left comes after all its reports.
inline bool isLater(const MinionReport& report, const MinionReport& known)
{
    if (report.instance.startTime != known.instance.startTime)
        return report.instance.startTime > known.instance.startTime;
    return report.hasLeft != known.hasLeft ? report.hasLeft : report.sequence > known.sequence;
}

/// @return whether two minions reported from one address for one service, so that only the one that started later can be
/// alive. A report says nothing about minions of other services.
bool shareAddress(const MinionReport&, const MinionReport&);

/// @return whether a report can't be of the instance that sent the known one, although it names it: an instance keeps its
/// service, its data centre and its address. All instances of a minion that doesn't report its start time count as one, so
/// that one may have moved.
bool contradicts(const MinionReport& report, const MinionReport& known);

/// The common header of all orders to a minion.
struct OrderHeader {
    MinionInstance instance;
    Endpoint endpoint;
    OwnerEpoch epoch;
};

struct StartOrder {
    OrderHeader header;
    RunId run;
    /// The caller's specification of the task, which is passed on without being parsed. All orders of a job share it.
    std::shared_ptr<const std::string> spec;
    /// End of the lease on the minion's clock. All runs of the minion are stopped then, unless the lease is extended.
    int64_t leaseEndMs = 0;
};

struct StopOrder {
    OrderHeader header;
    RunId run;
};

/// Extends the lease of all runs on a minion and asks for their state.
struct RenewOrder {
    OrderHeader header;
    /// New end of the lease on the minion's clock; 0 if the lease isn't extended.
    int64_t leaseEndMs = 0;
    /// Acknowledges the ended runs up to this number.
    uint64_t lastEndNumber = 0;
    /// Maximum time that the minion may delay its answer until the next run ends.
    absl::Duration wait;
};

/// The reason why an order wasn't carried out.
enum class OrderFailure {
    None,
    /// The order never left this process.
    NotSent,
    /// No answer was received. The order may have been carried out, or may be carried out later.
    NoAnswer,
    /// The minion has seen a higher epoch of another owner.
    Fenced,
    /// The run number isn't higher than the highest that the minion has seen for the task.
    OldRun,
    /// The lease had already ended on the minion's clock.
    LeaseEnded,
    NoRoom,
    /// Another instance answers at the address.
    OtherInstance,
    /// The minion is unhealthy and didn't carry out the order.
    Unhealthy,
    /// The minion refused the order as malformed.
    Refused,
};

struct StartResult {
    MinionInstance instance;
    /// The epoch of the order that was answered.
    OwnerEpoch epoch;
    RunId run;
    OrderFailure failure = OrderFailure::None;
    /// The time on the minion's clock; 0 if the answer didn't state it.
    int64_t clockMs = 0;
    /// Start time of the instance under the minion's id that answered; 0 if the answer didn't state it.
    MinionStartTime answeredBy {};
};

struct StopResult {
    MinionInstance instance;
    /// The epoch of the order that was answered.
    OwnerEpoch epoch;
    RunId run;
    OrderFailure failure = OrderFailure::None;
    int64_t clockMs = 0;
    /// As in StartResult.
    MinionStartTime answeredBy {};
};

enum class RunEnd {
    Done,
    Failed,
    Stopped,
    /// It ended without a result, and not by the task's fault: its lease expired, its minion lost it or its gang broke.
    LeaseExpired,
};

struct RunProgress {
    RunId run;
    /// The task's progress in percent.
    uint32_t progress = 0;
};

struct EndedRun {
    uint64_t number = 0;
    RunId run;
    RunEnd end = RunEnd::Done;
};

struct RenewResult {
    MinionInstance instance;
    /// The epoch of the order that was answered.
    OwnerEpoch epoch;
    OrderFailure failure = OrderFailure::None;
    int64_t clockMs = 0;
    std::vector<RunProgress> running;
    std::vector<EndedRun> ended;
    /// As in StartResult.
    MinionStartTime answeredBy {};
};

} // namespace trefoilwing
