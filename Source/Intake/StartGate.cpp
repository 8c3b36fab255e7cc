#include "Intake/StartGate.h"

namespace trefoilwing {

namespace {

    /// Processes that start together know each other and have a leading keeper by then.
    constexpr absl::Duration longestHold = absl::Milliseconds(1000);

} // namespace

bool StartGate::isClosed(bool isServing, absl::Time now)
{
    isOpen_ = isOpen_ || isServing || now - startedAt_ > longestHold;
    return !isOpen_;
}

} // namespace trefoilwing
