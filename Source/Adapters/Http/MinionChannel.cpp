#include "Adapters/Http/MinionChannel.h"

#include <absl/time/clock.h>

#include <iterator>
#include <utility>

namespace trefoilwing {

namespace {

    /// Maximum number of starts, and of cancels, in one post; a minion has at most a few dozen slots.
    constexpr size_t maxItemsPerPost = 256;

    template <typename T>
    void append(std::vector<T>& target, std::vector<T> source)
    {
        target.insert(target.end(), std::make_move_iterator(source.begin()), std::make_move_iterator(source.end()));
    }

    template <typename T>
    std::vector<T> takeFront(std::vector<T>& source)
    {
        if (source.size() <= maxItemsPerPost)
            return std::exchange(source, {});
        const auto end = source.begin() + maxItemsPerPost;
        std::vector<T> front(std::make_move_iterator(source.begin()), std::make_move_iterator(end));
        source.erase(source.begin(), end);
        return front;
    }

} // namespace

MinionChannel::MinionChannel(ServiceId service, MinionAddress address, const HttpTimeouts& timeouts)
    : service_(std::move(service))
    , address_(std::move(address))
    , connection_(address_.endpoint, timeouts)
{
}

bool MinionChannel::add(MinionWork work)
{
    const MutexLock lock(mutex_);
    append(waiting_.starts, std::move(work.starts));
    append(waiting_.cancels, std::move(work.cancels));
    return !std::exchange(isScheduled_, true);
}

MinionWork MinionChannel::take()
{
    const MutexLock lock(mutex_);
    return { takeFront(waiting_.starts), takeFront(waiting_.cancels) };
}

bool MinionChannel::release()
{
    const MutexLock lock(mutex_);
    lastUse_ = absl::Now();
    isScheduled_ = !waiting_.isEmpty();
    return isScheduled_;
}

bool MinionChannel::isIdleSince(absl::Time time) const
{
    const MutexLock lock(mutex_);
    return !isScheduled_ && lastUse_ < time;
}

PostOutcome MinionChannel::post(const std::string& path, const std::string& body)
{
    PostOutcome outcome = connection_.post(path, body);
    isSuspect_ = !std::holds_alternative<HttpAnswer>(outcome);
    return outcome;
}

} // namespace trefoilwing
