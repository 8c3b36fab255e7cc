#pragma once

#include <absl/time/time.h>

namespace trefoilwing {

/// A source of the time. It is read by the code that calls the decision objects, which don't read a clock themselves.
class Clock {
public:
    virtual ~Clock() = default;

    /// @return the current time. SystemClock may step when the platform corrects the time; SteadyClock never steps.
    virtual absl::Time now() const = 0;
};

} // namespace trefoilwing
