#pragma once

#include "Base/Error.h"
#include "Model/Identifiers.h"
#include "Model/Units.h"

#include <absl/time/time.h>

#include <map>
#include <variant>
#include <vector>

namespace trefoilwing {

/// Identifies a job among the jobs of all entries of a data centre.
struct JobRef {
    DaemonRun entry;
    JobNumber job;

    friend auto operator<=>(const JobRef&, const JobRef&) = default;
    friend bool operator==(const JobRef&, const JobRef&) = default;

    template <typename H>
    friend H AbslHashValue(H state, const JobRef& ref)
    {
        return H::combine(std::move(state), ref.entry, ref.job);
    }
};

/// The slots that a job still needs. Its entry sends this when the job starts
/// and after each change that isn't caused by a grant.
struct Demand {
    JobNumber job;
    BackerId backer;
    absl::Time submitted;
    absl::Time deadline;
    /// Number of tasks without a granted slot, by task kind. Empty if the job needs no more slots.
    std::map<TaskKindId, uint32_t> waiting;
    /// Minions whose slots must not be granted to this job, e.g. because they refused one of its tasks as already seen.
    std::vector<MinionId> excluded;
    /// Whether a slot has already been granted for a task of the job. Such a job can no longer be rejected as not run.
    bool hasStarted = false;

    friend bool operator==(const Demand&, const Demand&) = default;
};

/// The outcome of the use of a granted slot.
enum class SlotEnding {
    Succeeded,
    TaskFailed,
    /// The minion had no free slot: the broker's count of free slots was wrong.
    RefusedBusy,
    RefusedLeaving,
    /// The minion refused or couldn't begin the task for a reason of its own.
    Unable,
    /// The minion was unreachable or didn't answer.
    Unreachable,
    /// The entry returned the grant unused.
    Returned,
};

/// Reports the outcome of one granted slot to the broker.
struct SlotReport {
    JobNumber job;
    MinionId minion;
    TaskKindId kind;
    SlotEnding ending = SlotEnding::Succeeded;
    /// The task's run time at the minion; zero if it didn't run.
    absl::Duration runTime;

    friend bool operator==(const SlotReport&, const SlotReport&) = default;
};

/// Grants slots of one minion to tasks of one kind of one job.
struct Grant {
    JobNumber job;
    TaskKindId kind;
    MinionId minion;
    SlotCount slots;

    friend bool operator==(const Grant&, const Grant&) = default;
};

/// Rejects a job. None of its tasks has been granted a slot.
struct Rejection {
    JobNumber job;
    Error error;

    friend bool operator==(const Rejection&, const Rejection&) = default;
};

/// A message from an entry to a service's broker. It lists events in the order in which they happened.
struct BrokerUpdate {
    ServiceId service;
    DaemonRun entry;
    /// Number of the stream. The entry starts a new stream whenever it resends its full state.
    uint64_t stream = 0;
    /// Sequence number within the stream. Number 1 carries the full state
    /// and replaces what the broker knew of the entry.
    uint64_t sequence = 0;
    std::vector<Demand> demands;
    std::vector<SlotReport> reports;
    /// Only with sequence number 1: slots occupied by the entry's running tasks, by minion.
    std::map<MinionId, uint32_t> held;
    /// Sequence number of the last decisions received in this stream, so that the broker detects lost messages.
    uint64_t received = 0;

    friend bool operator==(const BrokerUpdate&, const BrokerUpdate&) = default;
};

/// A message from a service's broker to one entry.
struct BrokerDecisions {
    ServiceId service;
    DaemonRun broker;
    /// The incarnation of the entry that the decisions are for; other incarnations drop them.
    DaemonRun entry;
    /// The entry's stream that the decisions belong to; the entry drops decisions of earlier streams.
    uint64_t stream = 0;
    /// Sequence number within the stream, from 1. A gap means lost grants, so the entry starts a new stream.
    uint64_t sequence = 0;
    std::vector<Grant> grants;
    std::vector<Rejection> rejections;
    /// Whether the broker lacks the entry's state, so that the entry must start a new stream.
    bool needsFullState = false;

    friend bool operator==(const BrokerDecisions&, const BrokerDecisions&) = default;
};

} // namespace trefoilwing
