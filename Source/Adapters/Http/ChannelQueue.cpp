#include "Adapters/Http/ChannelQueue.h"

#include <utility>

namespace trefoilwing {

bool ChannelQueue::push(Channel channel)
{
    {
        const MutexLock lock(mutex_);
        if (isClosed_)
            return false;
        (channel->isSuspect() ? suspects_ : healthy_).push_back(std::move(channel));
    }
    changed_.Signal();
    return true;
}

bool ChannelQueue::isSuspectNext() const
{
    return !suspects_.empty() && (busySuspects_ == 0 || (healthy_.empty() && busySuspects_ < maxBusySuspects_));
}

bool ChannelQueue::hasNext() const
{
    return !healthy_.empty() || isSuspectNext();
}

ChannelQueue::Channel ChannelQueue::pop(bool wasSuspect, bool& isSuspect)
{
    const MutexLock lock(mutex_);
    busySuspects_ -= wasSuspect ? 1 : 0;
    while (!isClosed_ && !hasNext())
        changed_.Wait(&mutex_);
    if (isClosed_)
        return nullptr;
    isSuspect = isSuspectNext();
    busySuspects_ += isSuspect ? 1 : 0;
    std::deque<Channel>& source = isSuspect ? suspects_ : healthy_;
    Channel channel = std::move(source.front());
    source.pop_front();
    return channel;
}

std::vector<ChannelQueue::Channel> ChannelQueue::close()
{
    std::vector<Channel> waiting;
    {
        const MutexLock lock(mutex_);
        isClosed_ = true;
        for (std::deque<Channel>* source : { &healthy_, &suspects_ }) {
            waiting.insert(waiting.end(), source->begin(), source->end());
            source->clear();
        }
    }
    changed_.SignalAll();
    return waiting;
}

} // namespace trefoilwing
