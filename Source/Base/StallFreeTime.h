#pragma once

#include <absl/time/time.h>

namespace trefoilwing {

/// Converts clock times to a time scale that leaves out stalls of the calling thread.
///
/// After a stall (no processor time, or a paused VM) a thread still has received messages to read. A peer's
/// silence that is measured on this scale doesn't include the stall, so the peer isn't presumed dead by mistake.
class StallFreeTime {
public:
    /// Delays up to this limit aren't stalls: timers fire that late even on a lightly loaded machine.
    static constexpr absl::Duration toleratedDelay = absl::Milliseconds(10);

    /// Records how late a scheduled action ran.
    /// @param lateness the delay between the due time and the actual start.
    void recordDelay(absl::Duration lateness)
    {
        if (lateness > toleratedDelay)
            stalled_ += lateness;
    }

    /// @return the given clock time minus the total length of all stalls so far.
    absl::Time at(absl::Time time) const { return time - stalled_; }

private:
    absl::Duration stalled_;
};

} // namespace trefoilwing
