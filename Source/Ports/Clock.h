#pragma once

#include <absl/time/time.h>

namespace trefoilwing {

/// Tells the time to whatever drives the decision objects, which read no clock of their own.
class Clock {
public:
    virtual ~Clock() = default;

    /// @return the time of day; it may step when the platform corrects it.
    virtual absl::Time now() const = 0;
};

} // namespace trefoilwing
