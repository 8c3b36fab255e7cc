#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>

namespace trefoilwing {

/// The figures that an owner works by.
struct DispatchPolicy {
    /// Leases end this long after they were last extended. Minions take up to 1 s; a shorter lease lets the
    /// tasks of an unreachable minion start elsewhere sooner.
    absl::Duration lease = absl::Milliseconds(800);
    /// A look at a busy minion waits so long for an end; two looks may fail before the lease ends.
    absl::Duration holdWait = absl::Milliseconds(250);
    /// Ends are acknowledged after this long when no other look is due.
    absl::Duration acknowledgeDelay = absl::Milliseconds(40);
    /// Idle minions are looked at this often, to know their clocks and that they answer.
    absl::Duration idleHold = absl::Seconds(4);
    /// A minion's clock may be so much slower than this one.
    double clockDrift = 0.02;
    /// Covers the way of an order and rounding of the minion's clock.
    absl::Duration clockSlack = absl::Milliseconds(10);
    /// Stopped runs are gone after this long; minions promise 50 ms.
    absl::Duration stopTime = absl::Milliseconds(60);
    /// A stop without an answer is repeated after this long.
    absl::Duration stopRepeat = absl::Milliseconds(250);
    /// Runs that an earlier owner started are kept so long for the entries to offer their jobs again.
    absl::Duration adoption = absl::Milliseconds(600);
    /// A new owner starts nothing before its first looks are answered, but for this long at most: orders
    /// are given up after 150 ms.
    absl::Duration firstLook = absl::Milliseconds(200);
    /// After this long without a sign of an earlier owner's runs on an unreachable minion they have ended:
    /// the entries' silence limit and a whole lease.
    absl::Duration takeoverLimit = absl::Milliseconds(1700);
    /// An entry that was silent for so long is taken for gone, and its jobs are stopped.
    absl::Duration entrySilence = absl::Milliseconds(800);
    /// A run whose progress stands still for so long is stopped and started elsewhere.
    absl::Duration stallTime = absl::Milliseconds(400);
    /// An unreachable minion is tried again after this long, doubling up to the longest.
    absl::Duration firstRetry = absl::Milliseconds(300);
    absl::Duration longestRetry = absl::Seconds(2);
    /// Failed or stalled runs in a row, of different tasks, that take a minion out of use.
    uint32_t failuresToEject = 2;
    absl::Duration firstEjection = absl::Seconds(1);
    absl::Duration longestEjection = absl::Seconds(4);
    /// Estimates are rough, so a job is only called hopeless by this share of its own.
    double hopelessShare = 0.6;
    /// A job that would be later than its objective by more than this share isn't begun.
    double lateTolerance = 0.3;
    /// The weight of the newest run time in a minion's learned speed.
    double speedWeight = 0.1;
    /// The weight of the newest job in what a usual task needs.
    double needWeight = 0.05;
    /// And once several in a row show that the minion has turned slow, or is itself again.
    double changedSpeedWeight = 0.5;
    /// A task counts as in time on a minion if its expected run time and this share more fit before it is late:
    /// learned speeds are right to about a tenth.
    double speedMargin = 0.1;
    /// With this share of the cell's room free, tasks go to the fastest minion.
    double ampleShare = 0.25;
    /// Jobs looked at in one round of placing.
    size_t maxLooked = 64;
};

} // namespace trefoilwing
