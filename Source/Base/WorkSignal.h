#pragma once

#include <absl/time/time.h>

#include <condition_variable>
#include <mutex>

namespace trefoilwing {

/// Puts a thread to sleep until there is work.
///
/// Sleeps by the steady clock: a step of the time of day neither lengthens nor shortens them. absl::CondVar
/// sleeps by the time of day, and finds that from the processor's cycle counter, which a frozen or emulated VM
/// doesn't carry on evenly.
class WorkSignal {
public:
    /// Ends the current or the next wait.
    void raise();

    /// Sleeps until raise(), but no longer than the time given.
    void wait(absl::Duration longest);

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    bool isRaised_ = false;
};

} // namespace trefoilwing
