#include "Daemon/GroupPump.h"

#include <algorithm>

namespace trefoilwing {

absl::Time GroupPump::pump(absl::Time now)
{
    if (group_.nextWakeup() <= now)
        group_.wake();
    return group_.nextWakeup();
}

void GroupPump::waitForWork(absl::Duration longest)
{
    signal_.wait(std::min(longest, maxSleep));
}

} // namespace trefoilwing
