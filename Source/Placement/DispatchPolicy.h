#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>

namespace trefoilwing {

/// Time limits and thresholds of a cell owner.
struct DispatchPolicy {
    /// Lease duration, counted from the last renewal. Minions accept at most 1 s; a shorter lease lets the tasks
    /// of an unreachable minion restart elsewhere sooner.
    absl::Duration leaseDuration = absl::Milliseconds(800);
    /// Minimum duration of the lease with which a task is started.
    absl::Duration minLease = absl::Milliseconds(200);
    /// Minimum time after which a caller that got no answer submits its job again, to any entry. See ClaimLimit.
    absl::Duration resubmitDelay = absl::Milliseconds(1300);
    /// Allowance for the time in which an entry notices that a caller has left.
    absl::Duration claimMargin = absl::Milliseconds(100);
    /// @return the age at which a claim has lapsed: the caller may have submitted its job elsewhere since.
    absl::Duration maxClaimAge() const { return resubmitDelay - claimMargin; }
    /// Long-poll time of a lease renewal at a busy minion: the minion answers when a run ends, or after this time.
    /// Two renewals may fail before the lease expires.
    absl::Duration renewalWait = absl::Milliseconds(250);
    /// Long-poll time of a renewal that doesn't extend the lease: the next one may, as soon as all runs are claimed.
    absl::Duration unclaimedRenewalWait = absl::Milliseconds(50);
    /// Delay before ended runs are acknowledged if no renewal is due earlier.
    absl::Duration acknowledgeDelay = absl::Milliseconds(40);
    /// Interval of renewals at idle minions, which check that the minion answers and read its clock.
    absl::Duration idleRenewalInterval = absl::Seconds(4);
    /// Maximum fraction by which a minion's clock may run slower than the local one.
    double maxClockDrift = 0.02;
    /// Allowance for the network delay of an order and for the rounding of the minion's clock.
    absl::Duration clockMargin = absl::Milliseconds(10);
    /// Time after which a stopped run has certainly ended; minions guarantee 50 ms.
    absl::Duration stopDelay = absl::Milliseconds(60);
    /// Delay before an unanswered start is sent again under its number, once. A round trip takes under 10 ms; a minion
    /// that has the run already only confirms it.
    absl::Duration startRepeatDelay = absl::Milliseconds(45);
    /// Interval of ticks, while there are jobs, from which this process is taken to have stood still. Answers may then
    /// have arrived that it hasn't read.
    absl::Duration maxTickInterval = absl::Milliseconds(60);
    /// Delay before an unanswered stop is sent again.
    absl::Duration stopRetryInterval = absl::Milliseconds(100);
    /// How long runs started by an earlier owner are kept, so that entries can offer their jobs to the new owner.
    absl::Duration adoptionPeriod = absl::Milliseconds(600);
    /// The same, if other runs of the minion are claimed: the lease that they share can't be extended meanwhile.
    absl::Duration sharedAdoptionPeriod = absl::Milliseconds(250);
    /// Maximum time for which a new owner delays starts while it waits for the answers to its first renewals. Orders
    /// time out after 150 ms.
    absl::Duration firstRenewalTimeout = absl::Milliseconds(200);
    /// Maximum lease that a minion grants, whatever the order asks for.
    absl::Duration maxMinionLease = absl::Seconds(1);
    /// Time after which the gateway gives up an order that wasn't answered.
    absl::Duration orderTimeout = absl::Milliseconds(150);
    /// Time of silence after which an entry is presumed dead and its jobs are stopped.
    absl::Duration entryTimeout = absl::Milliseconds(800);
    /// Time without progress after which a run is stopped and restarted elsewhere.
    absl::Duration stallTimeout = absl::Milliseconds(400);
    /// Exponential backoff for renewals at an unreachable minion: first and maximum delay.
    absl::Duration initialRetryDelay = absl::Milliseconds(300);
    absl::Duration maxRetryDelay = absl::Seconds(2);
    /// Number of consecutive failed or stalled runs, of different tasks, that eject a minion from use.
    uint32_t failuresToEject = 2;
    absl::Duration initialEjection = absl::Seconds(1);
    absl::Duration maxEjection = absl::Seconds(4);
    /// A job is rejected if less than this fraction of its estimated run time is left before its result is useless.
    /// The fraction is below 1 because estimates are rough.
    double minRemainingFraction = 0.6;
    /// Maximum delay beyond a job's latency objective, as a fraction of the objective, at which the job is still
    /// started.
    double lateTolerance = 0.3;
    /// Weight of the newest run time in the moving average of a minion's speed.
    double speedWeight = 0.1;
    /// Weight of the newest job in the moving average of the cores that a task needs.
    double needWeight = 0.05;
    /// Weight of the newest run time once several in a row show that the minion's speed has changed.
    double changedSpeedWeight = 0.5;
    /// Safety margin on expected run times when checking whether a task ends in time on a minion, as a fraction:
    /// learned speeds are accurate to about 10 %.
    double speedMargin = 0.1;
    /// Fraction of the cell's cores that must be free for tasks to go to the fastest minion.
    double ampleCoresFraction = 0.25;
    /// Time for which an owner that learns that its cell's data centre is evacuated still starts the other tasks of jobs that
    /// have begun. It is a small part of the time within which evacuations must be in force.
    absl::Duration evacuationGrace = absl::Milliseconds(500);
    /// Whether tasks are kept apart that slow each other down on one minion.
    bool avoidsInterference = false;
    /// Maximum number of jobs considered in one placement round.
    size_t maxJobsPerRound = 64;
    /// Maximum number of start orders of a cell that wait for their answers. It bounds the memory of the orders, and the time
    /// of a placement round. Placement goes on once half of them are answered.
    size_t maxStartsInFlight = 2000;
    /// The same for each minion of the cell, on average. The starts of other jobs wait behind them.
    size_t maxStartsInFlightPerMinion = 64;
    /// Maximum number of runs in a cell. It bounds the memory of the runs, of the orders that stop them and of the answers that
    /// list them.
    size_t maxRuns = 10000;
    /// Maximum number of tasks in a cell that wait for their start. Jobs beyond it are rejected.
    size_t maxQueuedTasks = 200000;
};

} // namespace trefoilwing
