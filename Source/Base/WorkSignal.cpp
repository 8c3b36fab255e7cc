#include "Base/WorkSignal.h"

#include <algorithm>

namespace trefoilwing {

namespace {

    /// Infinite waits can't be expressed in nanoseconds of the steady clock; whoever waits looks again after this.
    constexpr absl::Duration longestWait = absl::Hours(1);

} // namespace

void WorkSignal::raise()
{
    const std::lock_guard lock(mutex_);
    isRaised_ = true;
    changed_.notify_one();
}

void WorkSignal::wait(absl::Duration longest)
{
    const auto limit = absl::ToChronoNanoseconds(std::clamp(longest, absl::ZeroDuration(), longestWait));
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, limit, [this] { return isRaised_; });
    isRaised_ = false;
}

} // namespace trefoilwing
