#pragma once

#include "Ports/Clock.h"

namespace trefoilwing {

/// The machine's time of day.
class SystemClock : public Clock {
public:
    absl::Time now() const override;
};

} // namespace trefoilwing
