#pragma once

#include "Model/ForwardMessages.h"
#include "Ports/CallerOperations.h"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <utility>
#include <vector>

namespace trefoilwing {

/// Requests sent to other daemons whose answers are awaited.
class ForwardTable {
public:
    /// @param unanswered what the callback is told when no answer comes in time.
    RequestId add(absl::Time until, SubmissionState unanswered, CallerOperations::StateCallback);

    /// @return the callback of an open request, which is closed by this, or an empty one.
    CallerOperations::StateCallback take(RequestId);

    /// @return the callbacks of requests that got no answer in time, with what they are told.
    std::vector<std::pair<CallerOperations::StateCallback, SubmissionState>> expire(absl::Time now);
    absl::Time nextWakeup() const;

private:
    struct Open {
        absl::Time until;
        SubmissionState unanswered;
        CallerOperations::StateCallback callback;
    };

    uint64_t last_ = 0;
    absl::flat_hash_map<RequestId, Open> open_;
    absl::btree_set<std::pair<absl::Time, RequestId>> ends_;
};

} // namespace trefoilwing
