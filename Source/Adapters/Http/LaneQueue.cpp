#include "Adapters/Http/LaneQueue.h"

#include <utility>

namespace trefoilwing {

bool LaneQueue::push(Lane lane)
{
    {
        const MutexLock lock(mutex_);
        if (isClosed_)
            return false;
        (lane->isSuspect() ? suspects_ : healthy_).push_back(std::move(lane));
    }
    changed_.Signal();
    return true;
}

bool LaneQueue::isSuspectNext() const
{
    return !suspects_.empty() && (busySuspects_ == 0 || (healthy_.empty() && busySuspects_ < maxBusySuspects_));
}

bool LaneQueue::hasNext() const
{
    return !healthy_.empty() || isSuspectNext();
}

LaneQueue::Lane LaneQueue::pop(bool wasSuspect, bool& isSuspect)
{
    const MutexLock lock(mutex_);
    busySuspects_ -= wasSuspect ? 1 : 0;
    while (!isClosed_ && !hasNext())
        changed_.Wait(&mutex_);
    if (isClosed_)
        return nullptr;
    isSuspect = isSuspectNext();
    busySuspects_ += isSuspect ? 1 : 0;
    std::deque<Lane>& source = isSuspect ? suspects_ : healthy_;
    Lane lane = std::move(source.front());
    source.pop_front();
    return lane;
}

std::vector<LaneQueue::Lane> LaneQueue::close()
{
    std::vector<Lane> waiting;
    {
        const MutexLock lock(mutex_);
        isClosed_ = true;
        for (std::deque<Lane>* source : { &healthy_, &suspects_ }) {
            waiting.insert(waiting.end(), source->begin(), source->end());
            source->clear();
        }
    }
    changed_.SignalAll();
    return waiting;
}

} // namespace trefoilwing
