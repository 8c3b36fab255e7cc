#pragma once

#include "Base/Error.h"
#include "Model/Identifiers.h"
#include "Model/Units.h"

#include <absl/time/time.h>

#include <map>
#include <variant>
#include <vector>

namespace trefoilwing {

/// A job among those of all entries of a data centre.
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

/// What a job still asks for, sent by its entry when it begins and when it changes other than by grants.
struct Demand {
    JobNumber job;
    BackerId backer;
    absl::Time submitted;
    absl::Time deadline;
    /// Tasks not yet granted a slot, by kind. Empty: the job asks for nothing more.
    std::map<TaskKindId, uint32_t> waiting;
    /// Minions that must not be granted to this job, e.g. since they refused its task as seen.
    std::vector<MinionId> excluded;
    /// Whether a slot has been granted for a task of the job before, so that it can't be rejected as not run.
    bool hasStarted = false;

    friend bool operator==(const Demand&, const Demand&) = default;
};

/// How the use of a granted slot ended.
enum class SlotEnding {
    Succeeded,
    TaskFailed,
    /// Refused for load: the broker's count of free slots was wrong.
    RefusedBusy,
    RefusedLeaving,
    /// Refused, or not begun, for a reason that lies with the minion.
    Unable,
    /// The minion couldn't be reached, or didn't answer.
    Unreachable,
    /// The entry didn't use the grant.
    Returned,
};

/// The end of the use of one granted slot.
struct SlotReport {
    JobNumber job;
    MinionId minion;
    TaskKindId kind;
    SlotEnding ending = SlotEnding::Succeeded;
    /// How long the task ran at the minion; zero where it didn't.
    absl::Duration runTime;

    friend bool operator==(const SlotReport&, const SlotReport&) = default;
};

/// Slots of one minion, for tasks of one kind of one job.
struct Grant {
    JobNumber job;
    TaskKindId kind;
    MinionId minion;
    SlotCount slots;

    friend bool operator==(const Grant&, const Grant&) = default;
};

/// A job that gets no slots: none of its tasks has been granted one.
struct Rejection {
    JobNumber job;
    Error error;

    friend bool operator==(const Rejection&, const Rejection&) = default;
};

/// What one entry tells a service's broker, in the order of the events.
struct BrokerUpdate {
    ServiceId service;
    DaemonRun entry;
    /// Numbers the times that the entry began anew with its whole state.
    uint64_t stream = 0;
    /// Numbers the updates of a stream, from 1; 1 carries the whole state and replaces what was known.
    uint64_t sequence = 0;
    std::vector<Demand> demands;
    std::vector<SlotReport> reports;
    /// With sequence 1: slots that the entry's running tasks hold, by minion.
    std::map<MinionId, uint32_t> held;
    /// The number of the last decisions received in this stream, so that the broker notices lost ones.
    uint64_t received = 0;

    friend bool operator==(const BrokerUpdate&, const BrokerUpdate&) = default;
};

/// What a service's broker tells one entry.
struct BrokerDecisions {
    ServiceId service;
    DaemonRun broker;
    /// The run of the entry that the decisions are for; another run drops them.
    DaemonRun entry;
    /// The entry's stream that the decisions belong to; the entry drops those of an earlier one.
    uint64_t stream = 0;
    /// Numbers the messages of a stream, from 1. A gap means lost grants, so the entry begins anew.
    uint64_t sequence = 0;
    std::vector<Grant> grants;
    std::vector<Rejection> rejections;
    /// Set when the broker lacks the entry's state: the entry begins anew with sequence 1.
    bool needsFullState = false;

    friend bool operator==(const BrokerDecisions&, const BrokerDecisions&) = default;
};

} // namespace trefoilwing
