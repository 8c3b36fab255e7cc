#pragma once

#include "Ports/Clock.h"

namespace trefoilwing {

/// Time since the machine's boot, as a time of the epoch. It never steps, and goes on while the machine sleeps.
///
/// For timeouts, leases and heartbeats within one process; its times mean nothing to another.
class SteadyClock : public Clock {
public:
    absl::Time now() const override;
};

} // namespace trefoilwing
