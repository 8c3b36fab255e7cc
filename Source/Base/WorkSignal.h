#pragma once

#include <absl/time/time.h>

#include <condition_variable>
#include <mutex>

namespace trefoilwing {

/// Blocks a thread until another one signals that there is work.
///
/// Waits use the steady clock, so a step of the system time neither lengthens nor shortens them. absl::CondVar
/// would use the system time, which it derives from the processor's cycle counter; in a paused or emulated VM
/// that counter doesn't advance evenly.
class WorkSignal {
public:
    /// Wakes the waiting thread, or makes the next wait return at once.
    void raise();

    /// Blocks until raise() is called or the timeout has passed.
    void wait(absl::Duration timeout);

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    bool isRaised_ = false;
};

} // namespace trefoilwing
