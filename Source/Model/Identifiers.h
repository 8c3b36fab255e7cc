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

/// A daemon's name from its settings; it outlives restarts.
using DaemonId = StrongId<struct DaemonTag, std::string>;

/// Numbers the runs of one process; a later run has a higher number.
using Incarnation = StrongId<struct IncarnationTag, uint64_t>;

/// The caller's own id of a submission, unique for its service and backer.
using CallerKey = StrongId<struct CallerKeyTag, std::string>;

/// A task's place in its submission, from 0.
using TaskIndex = StrongId<struct TaskIndexTag, uint32_t>;

/// Numbers the jobs of one daemon's run.
using JobNumber = StrongId<struct JobNumberTag, uint64_t>;

/// Numbers the starts that one daemon's run sends, so that answers find their attempt.
using AttemptId = StrongId<struct AttemptTag, uint64_t>;

/// Correlates a message between daemons with its answer.
using RequestId = StrongId<struct RequestTag, uint64_t>;

using ConfigurationVersion = StrongId<struct ConfigurationVersionTag, uint64_t>;
using Term = StrongId<struct TermTag, uint64_t>;
using LogIndex = StrongId<struct LogIndexTag, uint64_t>;

/// Names a replicated log: "configuration", or "ledger/" and a data centre.
using GroupId = StrongId<struct GroupTag, std::string>;

/// Identifies one submission among all.
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

/// Identifies one task among all: no two starts may ever share it.
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

/// One run of one daemon.
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
