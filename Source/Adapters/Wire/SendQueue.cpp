#include "Adapters/Wire/SendQueue.h"

#include <utility>

namespace trefoilwing {

SendQueue::SendQueue(Bytes maxBytes)
    : maxBytes_(maxBytes.value())
{
}

bool SendQueue::push(std::string frame, absl::Time now)
{
    MutexLock lock(mutex_);
    const bool wasEmpty = frames_.empty();
    bytes_ += frame.size();
    frames_.push_back({ std::move(frame), now });
    // The newest frame stays even if it alone exceeds the bound: the size of a frame is limited too.
    while (bytes_ > maxBytes_ && frames_.size() > 1)
        dropFront();
    return wasEmpty;
}

std::string SendQueue::take(size_t maxBytes, absl::Time oldest)
{
    MutexLock lock(mutex_);
    while (!frames_.empty() && frames_.front().queuedAt < oldest)
        dropFront();
    std::string batch;
    while (!frames_.empty() && (batch.empty() || batch.size() + frames_.front().frame.size() <= maxBytes)) {
        std::string& frame = frames_.front().frame;
        bytes_ -= frame.size();
        if (batch.empty())
            batch = std::move(frame);
        else
            batch.append(frame);
        frames_.pop_front();
        ++taken_;
    }
    return batch;
}

uint64_t SendQueue::dropped() const
{
    MutexLock lock(mutex_);
    return dropped_;
}

uint64_t SendQueue::taken() const
{
    MutexLock lock(mutex_);
    return taken_;
}

void SendQueue::dropFront()
{
    bytes_ -= frames_.front().frame.size();
    frames_.pop_front();
    ++dropped_;
}

} // namespace trefoilwing
