#pragma once

#include "Base/StrongId.h"
#include "Model/Identifiers.h"
#include "Model/MinionMessages.h"
#include "Model/ResourceVector.h"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace trefoilwing {

/// A caller's id of a job.
using JobKey = StrongId<struct JobKeyTag, std::string>;

/// Numbers the starts of one task; a minion takes only higher numbers than it has seen for the task.
using RunNumber = StrongId<struct RunNumberTag, uint64_t>;

/// Fences the orders of earlier owners of a cell. Rises with each grant, across all cells.
using OwnerEpoch = StrongId<struct OwnerEpochTag, uint64_t>;

/// The start of one life of a minion, in milliseconds of its own time of day.
using MinionStartTime = StrongId<struct MinionBirthTag, uint64_t>;

/// The minions of one service in one data centre.
struct PoolId {
    ServiceId service;
    DataCentreId dataCentre;

    friend auto operator<=>(const PoolId&, const PoolId&) = default;
    friend bool operator==(const PoolId&, const PoolId&) = default;
};

/// Which of the equal parts of a pool.
struct CellPart {
    uint32_t index = 0;
    /// How many parts the pool is divided into.
    uint32_t count = 1;

    friend auto operator<=>(const CellPart&, const CellPart&) = default;
    friend bool operator==(const CellPart&, const CellPart&) = default;
};

/// A part of a pool, which one entry gives orders to. Which minions belong to it follows from their ids, so that
/// everybody who knows the cell agrees on them.
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

/// @return the cell's name for the log: its data centre, with its part where the pool is divided.
std::string nameOf(const CellId&);

/// One run of one task.
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

/// One life of a minion.
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

/// What a minion says of itself.
struct MinionReport {
    MinionInstance instance;
    /// Orders the reports of one life.
    uint64_t sequence = 0;
    PoolId pool;
    Endpoint endpoint;
    ResourceVector capacity;
    std::vector<std::string> labels;
    MinionState state = MinionState::Serving;

    friend bool operator==(const MinionReport&, const MinionReport&) = default;
};

/// @return whether the minion belongs to the cell.
bool isInCell(const MinionReport&, const CellId&);

/// @return whether a minion's report tells of a later life than the one known, or of the same and came later in it.
inline bool isLater(const MinionReport& report, const MinionReport& known)
{
    return report.instance.startTime != known.instance.startTime ? report.instance.startTime > known.instance.startTime : report.sequence > known.sequence;
}

/// What every order to a minion carries.
struct OrderHeader {
    MinionInstance instance;
    Endpoint endpoint;
    OwnerEpoch epoch;
};

struct StartOrder {
    OrderHeader header;
    RunId run;
    /// The caller's text for the task, passed on unread.
    std::string spec;
    /// All runs of the minion end at this time of its clock unless it is extended.
    int64_t leaseEndMs = 0;
};

struct StopOrder {
    OrderHeader header;
    RunId run;
};

/// Extends the lease of all that runs on a minion, and asks for its runs.
struct RenewOrder {
    OrderHeader header;
    /// On the minion's clock; 0 extends nothing.
    int64_t leaseEndMs = 0;
    /// Ends up to this number have been taken note of.
    uint64_t lastEndNumber = 0;
    /// The answer may wait so long for the next end.
    absl::Duration wait;
};

/// What came of an order, where it wasn't done.
enum class OrderFailure {
    None,
    /// Never left this process.
    NotSent,
    /// No answer; it may have been carried out, or be carried out later.
    NoAnswer,
    /// Another owner holds a higher epoch.
    Fenced,
    /// The run's number isn't higher than one seen for the task.
    OldRun,
    /// The lease had ended on the minion's clock.
    LeaseEnded,
    NoRoom,
    /// Another life answers at the address.
    OtherInstance,
    /// The minion is unhealthy and did nothing.
    Unhealthy,
    /// The minion refuses the order as malformed.
    Refused,
};

struct StartResult {
    MinionInstance instance;
    RunId run;
    OrderFailure failure = OrderFailure::None;
    /// The minion's clock; 0 where it wasn't told.
    int64_t clockMs = 0;
};

struct StopResult {
    MinionInstance instance;
    RunId run;
    OrderFailure failure = OrderFailure::None;
    int64_t clockMs = 0;
};

enum class RunEnd {
    Done,
    Failed,
    Stopped,
    /// Its lease ended.
    LeaseExpired,
};

struct RunProgress {
    RunId run;
    /// How far the task is, in percent.
    uint32_t progress = 0;
};

struct EndedRun {
    uint64_t number = 0;
    RunId run;
    RunEnd end = RunEnd::Done;
};

struct RenewResult {
    MinionInstance instance;
    OrderFailure failure = OrderFailure::None;
    int64_t clockMs = 0;
    std::vector<RunProgress> running;
    std::vector<EndedRun> ended;
};

} // namespace trefoilwing
