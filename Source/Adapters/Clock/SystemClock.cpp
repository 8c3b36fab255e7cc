#include "Adapters/Clock/SystemClock.h"

#include <absl/time/clock.h>

namespace trefoilwing {

absl::Time SystemClock::now() const
{
    return absl::Now();
}

} // namespace trefoilwing
