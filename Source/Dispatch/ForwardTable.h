#pragma once

#include "Model/ForwardMessages.h"
#include "Ports/CallerOperations.h"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <utility>
#include <vector>

namespace trefoilwing {

/// Pending requests to other daemons.
class ForwardTable {
public:
    /// @param firstNumber the number that requests are counted from; higher than any that an earlier incarnation of this
    /// daemon used, so that late answers to its requests fit none of these.
    explicit ForwardTable(uint64_t firstNumber)
        : last_(firstNumber)
    {
    }

    /// @param stateOnTimeout the state passed to the callback if no answer arrives in time.
    RequestId add(absl::Time until, SubmissionState stateOnTimeout, CallerOperations::StateCallback);

    /// Removes a pending request.
    /// @return its callback, or an empty one if the request isn't pending.
    CallerOperations::StateCallback take(RequestId);

    /// Removes the requests that got no answer in time.
    /// @return their callbacks with the states to pass to them.
    std::vector<std::pair<CallerOperations::StateCallback, SubmissionState>> expire(absl::Time now);
    absl::Time nextWakeup() const;

private:
    struct PendingRequest {
        absl::Time until;
        SubmissionState stateOnTimeout;
        CallerOperations::StateCallback callback;
    };

    uint64_t last_;
    absl::flat_hash_map<RequestId, PendingRequest> pending_;
    absl::btree_set<std::pair<absl::Time, RequestId>> timeouts_;
};

} // namespace trefoilwing
