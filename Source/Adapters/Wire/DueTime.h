#pragma once

#include <absl/time/time.h>

#include <algorithm>

namespace trefoilwing {

/// The earliest time at which any connection of a link has to be serviced. Used by the link's thread only.
class DueTime {
public:
    void include(absl::Time time) { time_ = std::min(time_, time); }
    void reset() { time_ = absl::InfiniteFuture(); }
    absl::Time time() const { return time_; }

private:
    absl::Time time_ = absl::InfinitePast();
};

} // namespace trefoilwing
