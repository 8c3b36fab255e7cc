#pragma once

#include "Ports/Clock.h"

namespace trefoilwing {

/// A clock whose time changes only when the test sets it.
class FakeClock : public Clock {
public:
    explicit FakeClock(absl::Time begin = absl::FromUnixSeconds(1000))
        : time(begin)
    {
    }

    absl::Time now() const override { return time; }

    absl::Time time;
};

} // namespace trefoilwing
