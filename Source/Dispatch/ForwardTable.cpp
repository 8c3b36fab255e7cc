#include "Dispatch/ForwardTable.h"

namespace trefoilwing {

RequestId ForwardTable::add(absl::Time until, SubmissionState unanswered, CallerOperations::StateCallback callback)
{
    const RequestId request { ++last_ };
    open_.emplace(request, Open { until, std::move(unanswered), std::move(callback) });
    ends_.emplace(until, request);
    return request;
}

CallerOperations::StateCallback ForwardTable::take(RequestId request)
{
    const auto found = open_.find(request);
    if (found == open_.end())
        return {};
    CallerOperations::StateCallback callback = std::move(found->second.callback);
    ends_.erase({ found->second.until, request });
    open_.erase(found);
    return callback;
}

std::vector<std::pair<CallerOperations::StateCallback, SubmissionState>> ForwardTable::expire(absl::Time now)
{
    std::vector<std::pair<CallerOperations::StateCallback, SubmissionState>> expired;
    while (!ends_.empty() && ends_.begin()->first <= now) {
        const auto found = open_.find(ends_.begin()->second);
        expired.emplace_back(std::move(found->second.callback), std::move(found->second.unanswered));
        open_.erase(found);
        ends_.erase(ends_.begin());
    }
    return expired;
}

absl::Time ForwardTable::nextWakeup() const
{
    return ends_.empty() ? absl::InfiniteFuture() : ends_.begin()->first;
}

} // namespace trefoilwing
