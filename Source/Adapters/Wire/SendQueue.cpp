#include "Adapters/Wire/SendQueue.h"

#include <utility>

namespace trefoilwing {

SendQueue::SendQueue(Bytes maxBytes, SendBudget& budget)
    : maxBytes_(maxBytes.value())
    , budget_(budget)
{
}

SendQueue::~SendQueue()
{
    budget_.remove(bytes_);
}

bool SendQueue::push(std::string frame, absl::Time now, absl::Time oldest)
{
    MutexLock lock(mutex_);
    const bool wasEmpty = frames_.empty();
    dropExpired(oldest);
    bytes_ += frame.size();
    budget_.add(frame.size());
    frames_.push_back({ std::move(frame), now });
    // The newest frame stays even if it alone exceeds the bound: the size of a frame is limited too.
    while (bytes_ > maxBytes_ && frames_.size() > 1)
        dropFront();
    return wasEmpty;
}

void SendQueue::dropBefore(absl::Time oldest)
{
    MutexLock lock(mutex_);
    dropExpired(oldest);
}

void SendQueue::dropUntilWithinBudget()
{
    MutexLock lock(mutex_);
    while (!frames_.empty() && budget_.isExceeded())
        dropFront();
}

Bytes SendQueue::queuedBytes() const
{
    MutexLock lock(mutex_);
    return Bytes(bytes_);
}

std::string SendQueue::take(size_t maxBytes, absl::Time oldest)
{
    MutexLock lock(mutex_);
    dropExpired(oldest);
    std::string batch;
    while (!frames_.empty() && (batch.empty() || batch.size() + frames_.front().frame.size() <= maxBytes)) {
        std::string& frame = frames_.front().frame;
        bytes_ -= frame.size();
        budget_.remove(frame.size());
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

void SendQueue::dropExpired(absl::Time oldest)
{
    while (!frames_.empty() && frames_.front().queuedAt < oldest)
        dropFront();
}

void SendQueue::dropFront()
{
    bytes_ -= frames_.front().frame.size();
    budget_.remove(frames_.front().frame.size());
    frames_.pop_front();
    ++dropped_;
}

} // namespace trefoilwing
