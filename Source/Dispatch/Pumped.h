#pragma once

#include <absl/time/time.h>

namespace trefoilwing {

/// A component with queued effects and timers, driven by a thread of its own.
///
/// Calls that pass it events return immediately; pump() delivers the effects in order, without holding a lock.
class Pumped {
public:
    virtual ~Pumped() = default;

    /// Handles the timers that are due and delivers all effects.
    /// @return when the next timer is due.
    virtual absl::Time pump(absl::Time now) = 0;

    /// Blocks until there is an effect to deliver, wake() is called, or the timeout expires.
    virtual void waitForWork(absl::Duration longest) = 0;
    virtual void wake() = 0;
};

} // namespace trefoilwing
