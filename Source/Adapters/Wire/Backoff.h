#pragma once

#include "Ports/Random.h"

#include <absl/time/time.h>

namespace trefoilwing {

/// Jittered exponential backoff between attempts to connect.
class Backoff {
public:
    /// @param random must outlive this.
    Backoff(absl::Duration first, absl::Duration max, Random& random);

    /// @return how long to wait after one more failure: between half of the bound and the bound, which doubles.
    absl::Duration next();

    /// Takes a success: the next failure waits for the shortest time again.
    void reset();

private:
    const absl::Duration first_;
    const absl::Duration max_;
    absl::Duration bound_;
    Random& random_;
};

} // namespace trefoilwing
