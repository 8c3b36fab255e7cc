#pragma once

#include "Base/MutexLock.h"

#include <absl/time/time.h>

#include <functional>
#include <map>
#include <thread>

namespace trefoilwing {

/// Calls functions at set times from a single thread, so that running tasks don't need one thread each.
class TimerQueue {
public:
    using Callback = std::function<void()>;

    TimerQueue();
    ~TimerQueue();

    TimerQueue(const TimerQueue&) = delete;
    TimerQueue& operator=(const TimerQueue&) = delete;

    void callAt(absl::Time, Callback);

private:
    void run();

    absl::Mutex mutex_;
    absl::CondVar changed_;
    std::multimap<absl::Time, Callback> callbacks_ ABSL_GUARDED_BY(mutex_);
    bool isStopping_ ABSL_GUARDED_BY(mutex_) = false;
    std::thread thread_;
};

} // namespace trefoilwing
