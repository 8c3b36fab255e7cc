#include "Intake/StartupGate.h"

namespace trefoilwing {

namespace {

    /// Maximum time for which callers wait. Processes that start together have found each other and elected a leading
    /// keeper by then.
    constexpr absl::Duration maxStartupWait = absl::Milliseconds(1000);

} // namespace

bool StartupGate::shouldWait(bool isServing, absl::Time now)
{
    isOpen_ = isOpen_ || isServing || now - startedAt_ > maxStartupWait;
    return !isOpen_;
}

} // namespace trefoilwing
