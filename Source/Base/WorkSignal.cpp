#include "Base/WorkSignal.h"

#include <algorithm>

namespace trefoilwing {

namespace {

    /// An infinite wait can't be expressed in nanoseconds of the steady clock.
    /// Callers wait in a loop, so a wait may end early.
    constexpr absl::Duration maxTimeout = absl::Hours(1);

} // namespace

void WorkSignal::raise()
{
    const std::lock_guard lock(mutex_);
    isRaised_ = true;
    changed_.notify_one();
}

void WorkSignal::wait(absl::Duration timeout)
{
    const auto bounded = absl::ToChronoNanoseconds(std::clamp(timeout, absl::ZeroDuration(), maxTimeout));
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, bounded, [this] { return isRaised_; });
    isRaised_ = false;
}

} // namespace trefoilwing
