#pragma once

#include "Base/MutexLock.h"

#include <absl/time/time.h>

namespace trefoilwing {

/// Puts a pump's thread to sleep until there is work.
class WorkSignal {
public:
    /// Ends the current or the next wait.
    void raise();

    /// Sleeps until raise() or the time given.
    void wait(absl::Time until);

private:
    absl::Mutex mutex_;
    absl::CondVar changed_;
    bool isRaised_ ABSL_GUARDED_BY(mutex_) = false;
};

} // namespace trefoilwing
