#pragma once

#include "Model/MinionBatches.h"

#include <absl/container/flat_hash_map.h>

#include <utility>

namespace trefoilwing {

/// Records the attempts and tasks that a stand-in minion has received, so that it starts none of them twice.
class TaskHistory {
public:
    /// @return whether the start may run; if so, it is recorded as running.
    bool admit(const DaemonRun&, const TaskStart&);

    /// Records that an admitted start has ended.
    void end(const DaemonRun&, const TaskStart&);

    /// @return the state of the attempt. An unknown attempt is fenced together with its task, so that a later start is refused.
    CancelReply cancel(const DaemonRun&, const CancelOrder&);

private:
    using AttemptKey = std::pair<DaemonRun, AttemptId>;

    absl::flat_hash_map<AttemptKey, CancelReply> attempts_;
    /// Tasks of non-idempotent starts and of fenced attempts. Idempotent starts neither read nor change them.
    absl::flat_hash_map<TaskId, CancelReply> tasks_;
};

} // namespace trefoilwing
