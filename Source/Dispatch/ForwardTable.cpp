#include "Dispatch/ForwardTable.h"

namespace trefoilwing {

RequestId ForwardTable::add(absl::Time until, SubmissionState stateOnTimeout, CallerOperations::StateCallback callback)
{
    const RequestId request { ++last_ };
    pending_.emplace(request, PendingRequest { until, std::move(stateOnTimeout), std::move(callback) });
    timeouts_.emplace(until, request);
    return request;
}

CallerOperations::StateCallback ForwardTable::take(RequestId request)
{
    const auto found = pending_.find(request);
    if (found == pending_.end())
        return {};
    CallerOperations::StateCallback callback = std::move(found->second.callback);
    timeouts_.erase({ found->second.until, request });
    pending_.erase(found);
    return callback;
}

std::vector<std::pair<CallerOperations::StateCallback, SubmissionState>> ForwardTable::expire(absl::Time now)
{
    std::vector<std::pair<CallerOperations::StateCallback, SubmissionState>> expired;
    while (!timeouts_.empty() && timeouts_.begin()->first <= now) {
        const auto found = pending_.find(timeouts_.begin()->second);
        expired.emplace_back(std::move(found->second.callback), std::move(found->second.stateOnTimeout));
        pending_.erase(found);
        timeouts_.erase(timeouts_.begin());
    }
    return expired;
}

absl::Time ForwardTable::nextWakeup() const
{
    return timeouts_.empty() ? absl::InfiniteFuture() : timeouts_.begin()->first;
}

} // namespace trefoilwing
