#include "Daemon/GroupPump.h"

#include <absl/time/clock.h>

#include <algorithm>

namespace trefoilwing {

absl::Time GroupPump::pump(absl::Time now)
{
    if (group_.nextWakeup() <= now)
        group_.wake();
    return group_.nextWakeup();
}

void GroupPump::waitForWork(absl::Time until)
{
    signal_.wait(std::min(until, absl::Now() + longestSleep));
}

} // namespace trefoilwing
