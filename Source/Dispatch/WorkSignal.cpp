#include "Dispatch/WorkSignal.h"

namespace trefoilwing {

void WorkSignal::raise()
{
    MutexLock lock(mutex_);
    isRaised_ = true;
    changed_.Signal();
}

void WorkSignal::wait(absl::Time until)
{
    MutexLock lock(mutex_);
    while (!isRaised_) {
        if (changed_.WaitWithDeadline(&mutex_, until))
            break;
    }
    isRaised_ = false;
}

} // namespace trefoilwing
