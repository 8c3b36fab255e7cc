#pragma once

#include "Model/Identifiers.h"
#include "Model/Units.h"

#include <absl/time/time.h>

#include <map>
#include <string>
#include <vector>

namespace trefoilwing {

/// An IP address and a TCP port.
struct Endpoint {
    std::string address;
    uint16_t port = 0;

    friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
    friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

enum class MinionState {
    Serving,
    /// Finishes its running tasks and accepts no new ones.
    Leaving,
};

/// The amounts of resources, besides slots, that a worker offers or a task kind needs, by name (e.g. "accelerators").
using Resources = std::map<std::string, uint32_t>;

/// A minion registers itself with an announcement. It is a lease that expires unless the minion renews it.
struct MinionAnnouncement {
    MinionId minion;
    Incarnation incarnation;
    /// Sequence number of the announcements of one incarnation, so that an older one that arrives late is ignored.
    uint64_t sequence = 0;
    Endpoint endpoint;
    ServiceId service;
    DataCentreId dataCentre;
    WorkerId worker;
    RackId rack;
    SlotCount slots;
    /// Number of slots that run a task at the time of the announcement.
    SlotCount busySlots;
    Resources resources;
    MinionState state = MinionState::Serving;

    friend bool operator==(const MinionAnnouncement&, const MinionAnnouncement&) = default;
};

/// Tells a minion to start a task.
struct TaskStart {
    AttemptId attempt;
    TaskId task;
    TaskKindId kind;
    std::string payload;
    absl::Time deadline;
    bool isIdempotent = false;

    friend bool operator==(const TaskStart&, const TaskStart&) = default;
};

/// A minion's answer to a task start.
enum class StartReply {
    Started,
    /// All slots are in use. This isn't a fault.
    RefusedBusy,
    /// The minion is leaving.
    RefusedLeaving,
    /// The minion has already seen or fenced the task id, so the task may have run there.
    RefusedSeen,
    /// The minion can't run this kind of task.
    RefusedUnable,
    /// Nothing was started: no connection was established, or another incarnation of the minion rejected the batch.
    NotSent,
    /// No answer was received, so the task may have started.
    Unknown,
};

/// The answer to one task start in a batch.
struct StartAnswer {
    AttemptId attempt;
    StartReply reply = StartReply::Unknown;

    friend bool operator==(const StartAnswer&, const StartAnswer&) = default;
};

/// Tells a minion to cancel an attempt. If the start hasn't arrived yet, the
/// minion fences the task id and refuses the start later.
struct CancelOrder {
    AttemptId attempt;
    TaskId task;

    friend bool operator==(const CancelOrder&, const CancelOrder&) = default;
};

/// A minion's answer to the cancellation of one attempt.
enum class CancelReply {
    /// The task never started at this minion and never will.
    Fenced,
    /// The task is running and continues.
    Running,
    /// The task has ended; its result was or will be posted.
    Ended,
    /// No answer was received.
    Unknown,
};

struct CancelAnswer {
    AttemptId attempt;
    CancelReply reply = CancelReply::Unknown;

    friend bool operator==(const CancelAnswer&, const CancelAnswer&) = default;
};

enum class TaskStatus {
    Succeeded,
    /// The task ran and failed.
    Failed,
    /// The minion couldn't begin to run the task, so it had no effect.
    NotRun,
};

/// The result of one attempt, posted by its minion.
struct TaskResult {
    AttemptId attempt;
    TaskId task;
    TaskStatus status = TaskStatus::Succeeded;
    std::string output;
    absl::Duration runTime;

    friend bool operator==(const TaskResult&, const TaskResult&) = default;
};

} // namespace trefoilwing
