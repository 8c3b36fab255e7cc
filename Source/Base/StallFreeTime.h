#pragma once

#include <absl/time/time.h>

namespace trefoilwing {

/// Counts the time in which a thread could run.
///
/// A thread without processor, or of a paused VM, finds events unread when it runs again. Silence that is measured
/// by this time isn't longer for that.
class StallFreeTime {
public:
    /// Timers that fire so late are usual on a machine with time to spare.
    static constexpr absl::Duration toleratedDelay = absl::Milliseconds(10);

    /// Takes note that something which was due ran.
    /// @param lateness by how much after it was due.
    void recordDelay(absl::Duration lateness)
    {
        if (lateness > toleratedDelay)
            lost_ += lateness;
    }

    /// @return the time less all that was lost.
    absl::Time at(absl::Time time) const { return time - lost_; }

private:
    absl::Duration lost_;
};

} // namespace trefoilwing
