#include "Adapters/Clock/SystemClock.h"

#include <ctime>

namespace trefoilwing {

absl::Time SystemClock::now() const
{
    timespec time {};
    ::clock_gettime(CLOCK_REALTIME, &time);
    return absl::TimeFromTimespec(time);
}

} // namespace trefoilwing
