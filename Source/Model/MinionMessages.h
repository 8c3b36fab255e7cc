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
    /// Finishes what it runs and takes nothing new.
    Leaving,
};

/// What a worker or a task kind offers or needs besides slots, by resource name (e.g. "accelerators").
using Resources = std::map<std::string, uint32_t>;

/// A minion's announcement of itself. It is a lease: it ends unless renewed.
struct MinionAnnouncement {
    MinionId minion;
    Incarnation incarnation;
    /// Orders the announcements of one incarnation, so that an older one that comes late changes nothing.
    uint64_t sequence = 0;
    Endpoint endpoint;
    ServiceId service;
    DataCentreId dataCentre;
    WorkerId worker;
    RackId rack;
    SlotCount slots;
    /// Slots that run a task at the time of the announcement.
    SlotCount busySlots;
    Resources resources;
    MinionState state = MinionState::Serving;

    friend bool operator==(const MinionAnnouncement&, const MinionAnnouncement&) = default;
};

/// One start of a task, sent to a minion.
struct TaskStart {
    AttemptId attempt;
    TaskId task;
    TaskKindId kind;
    std::string payload;
    absl::Time deadline;
    bool isIdempotent = false;

    friend bool operator==(const TaskStart&, const TaskStart&) = default;
};

/// A minion's answer to one start.
enum class StartReply {
    Started,
    /// All slots are taken. Not a fault.
    RefusedBusy,
    /// The minion is leaving.
    RefusedLeaving,
    /// The task id has been seen or fenced here before, so it may have run here.
    RefusedSeen,
    /// The minion can't run this kind of task.
    RefusedUnable,
    /// The connection couldn't be made, so nothing was sent.
    NotSent,
    /// No answer came: the task may have started.
    Unknown,
};

/// The answer to one start of a batch.
struct StartAnswer {
    AttemptId attempt;
    StartReply reply = StartReply::Unknown;

    friend bool operator==(const StartAnswer&, const StartAnswer&) = default;
};

/// Asks a minion to give an attempt up. The task's id fences it where its start hasn't come yet.
struct CancelOrder {
    AttemptId attempt;
    TaskId task;

    friend bool operator==(const CancelOrder&, const CancelOrder&) = default;
};

/// A minion's answer to the cancelling of one attempt.
enum class CancelReply {
    /// The task never started here and never will.
    Fenced,
    /// The task runs, and goes on running.
    Running,
    /// The task has ended; its result was or will be posted.
    Ended,
    /// No answer came.
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
    /// The minion couldn't begin to run the task, so nothing was done.
    NotRun,
};

/// The end of one attempt, as its minion posts it.
struct TaskResult {
    AttemptId attempt;
    TaskId task;
    TaskStatus status = TaskStatus::Succeeded;
    std::string output;
    absl::Duration runTime;

    friend bool operator==(const TaskResult&, const TaskResult&) = default;
};

} // namespace trefoilwing
