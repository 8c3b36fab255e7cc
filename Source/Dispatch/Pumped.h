#pragma once

#include <absl/time/time.h>

namespace trefoilwing {

/// Something with effects to deliver and times to act at, driven by one thread of its own.
///
/// Whoever feeds it events returns at once; the pump delivers the effects in their order, with no lock held.
class Pumped {
public:
    virtual ~Pumped() = default;

    /// Acts on what is due and delivers all effects.
    /// @return when it is next due without a new event.
    virtual absl::Time pump(absl::Time now) = 0;

    /// Sleeps until there is something to deliver, wake() was called, or the time given is over.
    virtual void waitForWork(absl::Duration longest) = 0;
    virtual void wake() = 0;
};

} // namespace trefoilwing
