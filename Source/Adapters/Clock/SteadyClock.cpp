#include "Adapters/Clock/SteadyClock.h"

#include <ctime>

namespace trefoilwing {

absl::Time SteadyClock::now() const
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return absl::TimeFromTimespec(time);
}

} // namespace trefoilwing
