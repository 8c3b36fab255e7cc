#pragma once

#include "Ports/Clock.h"

namespace trefoilwing {

/// Wall-clock time of the machine.
class SystemClock : public Clock {
public:
    absl::Time now() const override;
};

} // namespace trefoilwing
