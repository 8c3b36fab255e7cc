#pragma once

#include "Model/MinionBatches.h"

#include <absl/container/flat_hash_map.h>

#include <utility>

namespace trefoilwing {

/// What a stand-in minion remembers of attempts and tasks, so that none starts twice.
class SeenTasks {
public:
    /// @return whether a start may run; it is then remembered as running.
    bool admit(const DaemonRun&, const TaskStart&);

    /// Notes that an admitted start has ended.
    void end(const DaemonRun&, const TaskStart&);

    /// @return what is true of the attempt; one that hasn't been seen is fenced, with its task.
    CancelReply cancel(const DaemonRun&, const CancelOrder&);

private:
    using AttemptKey = std::pair<DaemonRun, AttemptId>;

    absl::flat_hash_map<AttemptKey, CancelReply> attempts_;
    /// Tasks that an idempotent start doesn't touch.
    absl::flat_hash_map<TaskId, CancelReply> tasks_;
};

} // namespace trefoilwing
