#pragma once

#include "Base/StrongId.h"

#include <compare>
#include <cstdint>
#include <string>

namespace trefoilwing {

using ServiceId = StrongId<struct ServiceTag, std::string>;
using BackerId = StrongId<struct BackerTag, std::string>;
using TaskKindId = StrongId<struct TaskKindTag, std::string>;
using MinionId = StrongId<struct MinionTag, std::string>;
using WorkerId = StrongId<struct WorkerTag, std::string>;
using RackId = StrongId<struct RackTag, std::string>;
using DataCentreId = StrongId<struct DataCentreTag, std::string>;

/// A daemon's name from its settings. It stays the same across restarts.
using DaemonId = StrongId<struct DaemonTag, std::string>;

/// Distinguishes the runs of one process; a restarted process has a higher number.
using Incarnation = StrongId<struct IncarnationTag, uint64_t>;

/// The caller's id for a submission, unique within its service and backer.
using CallerKey = StrongId<struct CallerKeyTag, std::string>;

/// The index of a task in its submission, from 0.
using TaskIndex = StrongId<struct TaskIndexTag, uint32_t>;

/// Identifies a job within one run of a daemon's process.
using JobNumber = StrongId<struct JobNumberTag, uint64_t>;

/// Identifies a start of a task within one run of a daemon's process, so that answers are matched to their attempts.
using AttemptId = StrongId<struct AttemptTag, uint64_t>;

/// Matches an answer between daemons to its request.
using RequestId = StrongId<struct RequestTag, uint64_t>;

using ConfigurationVersion = StrongId<struct ConfigurationVersionTag, uint64_t>;
using Term = StrongId<struct TermTag, uint64_t>;
using LogIndex = StrongId<struct LogIndexTag, uint64_t>;

/// The name of a replicated log: "configuration", or "ledger/" followed by a data centre.
using GroupId = StrongId<struct GroupTag, std::string>;

/// Identifies a submission in the whole system.
struct SubmissionKey {
    ServiceId service;
    BackerId backer;
    CallerKey key;

    friend auto operator<=>(const SubmissionKey&, const SubmissionKey&) = default;
    friend bool operator==(const SubmissionKey&, const SubmissionKey&) = default;

    template <typename H>
    friend H AbslHashValue(H state, const SubmissionKey& id)
    {
        return H::combine(std::move(state), id.service, id.backer, id.key);
    }
};

/// Identifies a task in the whole system. A task that isn't idempotent must never be started twice under its id.
struct TaskId {
    SubmissionKey submission;
    TaskIndex index;

    friend auto operator<=>(const TaskId&, const TaskId&) = default;
    friend bool operator==(const TaskId&, const TaskId&) = default;

    template <typename H>
    friend H AbslHashValue(H state, const TaskId& id)
    {
        return H::combine(std::move(state), id.submission, id.index);
    }
};

/// One run of a daemon's process: a restart makes another one.
struct DaemonRun {
    DaemonId daemon;
    Incarnation incarnation;

    friend auto operator<=>(const DaemonRun&, const DaemonRun&) = default;
    friend bool operator==(const DaemonRun&, const DaemonRun&) = default;

    template <typename H>
    friend H AbslHashValue(H state, const DaemonRun& run)
    {
        return H::combine(std::move(state), run.daemon, run.incarnation);
    }
};

} // namespace trefoilwing
