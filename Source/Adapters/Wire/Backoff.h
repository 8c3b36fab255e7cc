#pragma once

#include "Ports/Random.h"

#include <absl/time/time.h>

namespace trefoilwing {

/// Jittered exponential backoff between attempts to connect.
class Backoff {
public:
    /// @param random must outlive this.
    Backoff(absl::Duration first, absl::Duration max, Random& random);

    /// Records a failure and doubles the bound of the next delay.
    /// @return the delay before the next attempt: random, from half the current bound up to the bound.
    absl::Duration next();

    /// Records a success: the bound starts again at the shortest delay.
    void reset();

private:
    const absl::Duration first_;
    const absl::Duration max_;
    absl::Duration bound_;
    Random& random_;
};

} // namespace trefoilwing
