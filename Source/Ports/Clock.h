#pragma once

#include <absl/time/time.h>

namespace trefoilwing {

/// The system clock. It is read by the code that calls the decision objects, which don't read a clock themselves.
class Clock {
public:
    virtual ~Clock() = default;

    /// @return the system time, which may step when the platform corrects it.
    virtual absl::Time now() const = 0;
};

} // namespace trefoilwing
