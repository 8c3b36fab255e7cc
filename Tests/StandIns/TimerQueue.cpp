#include "StandIns/TimerQueue.h"

#include <absl/time/clock.h>

namespace trefoilwing {

TimerQueue::TimerQueue()
    : thread_([this] { run(); })
{
}

TimerQueue::~TimerQueue()
{
    {
        const MutexLock lock(mutex_);
        isStopping_ = true;
    }
    changed_.SignalAll();
    thread_.join();
}

void TimerQueue::callAt(absl::Time time, Callback callback)
{
    const MutexLock lock(mutex_);
    callbacks_.emplace(time, std::move(callback));
    changed_.SignalAll();
}

void TimerQueue::run()
{
    mutex_.Lock();
    while (!isStopping_) {
        const absl::Time next = callbacks_.empty() ? absl::InfiniteFuture() : callbacks_.begin()->first;
        if (absl::Now() < next) {
            changed_.WaitWithDeadline(&mutex_, next);
            continue;
        }
        const Callback callback = std::move(callbacks_.begin()->second);
        callbacks_.erase(callbacks_.begin());
        mutex_.Unlock();
        callback();
        mutex_.Lock();
    }
    mutex_.Unlock();
}

} // namespace trefoilwing
