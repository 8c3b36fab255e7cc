#pragma once

#include "Ports/Clock.h"

namespace trefoilwing {

/// Monotonic clock: the time since boot, expressed as an absl::Time since the Unix epoch. It never jumps, and
/// also advances while the machine is suspended.
///
/// For timeouts, leases and heartbeats within one process. Other processes can't interpret its times.
class SteadyClock : public Clock {
public:
    absl::Time now() const override;
};

} // namespace trefoilwing
