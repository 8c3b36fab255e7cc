#pragma once

#include "Model/FleetMessages.h"
#include "Placement/DispatchPolicy.h"
#include "Placement/JobOrder.h"
#include "Placement/MinionChooser.h"
#include "Ports/Random.h"

#include <absl/container/flat_hash_map.h>
#include <boost/intrusive/list.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace trefoilwing {

/// A message to the entry that offered a job.
struct EntryMessage {
    DaemonId entry;
    JobResult result;
};

/// A log record of a decision about a job, a run or a minion.
struct CellEvent {
    std::string name;
    /// The job concerned, with the request and the offer that it came by; empty if the event concerns no open job.
    JobKey job;
    std::string requestId;
    uint64_t offerNumber = 0;
    MinionId minion;
    std::string detail;
};

/// The orders, messages and log events that a CellDispatcher has decided on and that remain to be sent.
struct CellOutbox {
    std::vector<std::variant<StartOrder, StopOrder, RenewOrder>> orders;
    std::vector<EntryMessage> messages;
    std::vector<CellEvent> events;
};

/// Counters of one cell owner, for metrics.
struct CellTotals {
    uint64_t starts = 0;
    uint64_t repeatedStarts = 0;
    uint64_t done = 0;
    uint64_t failed = 0;
    uint64_t stopped = 0;
    uint64_t leaseExpired = 0;
    uint64_t startsWithoutRoom = 0;
    uint64_t renewals = 0;
    uint64_t rejectedJobs = 0;
};

/// Schedules the jobs of one cell on behalf of its owner: admits or rejects jobs, decides which task starts on which
/// minion and when, stops runs, and reports the result of each job to its entry.
///
/// It does no I/O: callers pass in messages, answers to orders and the current time, and send what it puts into its
/// outbox.
class CellDispatcher {
public:
    CellDispatcher(const CellGrant&, const DispatchPolicy&, const JobOrder&, Random&, absl::Time now);
    ~CellDispatcher();
    CellDispatcher(const CellDispatcher&) = delete;
    CellDispatcher& operator=(const CellDispatcher&) = delete;

    /// Sets whether all minions of the cell have been reported. Until then an unknown minion may have runs of an
    /// earlier owner.
    void setMinionsKnown(bool areAllKnown);
    /// Sets whether the cell's data centre is evacuated. Runs go on to their end, but no job is begun.
    /// @param mayFinishJobs whether the tasks that jobs in progress still lack may start for a short time.
    void setEvacuated(bool isEvacuated, bool mayFinishJobs, absl::Time now);
    void minionReported(const MinionReport&, absl::Time now);
    /// Removes a minion whose process has ended, with its runs.
    void minionEnded(const MinionInstance&, absl::Time now);
    /// Removes a minion that the keepers don't hold any more. Its process may be up, so tasks that it may run wait until they
    /// have ended.
    void minionForgotten(const MinionInstance&, absl::Time now);

    void offered(const JobOffer&, const DaemonId& entry, absl::Time now);
    void cancelled(const JobCancel&, const DaemonId& entry, absl::Time now);
    /// Records a heartbeat of an entry, with its claims.
    void entryHeartbeatReceived(const DaemonRun& entry, const std::optional<JobClaims>&, absl::Time now);

    void answered(const StartResult&, absl::Time now);
    void answered(const StopResult&, absl::Time now);
    void answered(const RenewResult&, absl::Time now);

    /// Handles everything that is due: timeouts, lease renewals, placement.
    void tick(absl::Time now);

    CellOutbox takeOutbox() { return std::exchange(outbox_, {}); }

    CellLoad load(absl::Time now) const;
    const CellTotals& totals() const { return totals_; }
    /// @return the kinds of tasks that are known to slow each other down, the strongest first.
    std::vector<InterferingPair> interferingPairs() const { return interference_->pairs(); }
    size_t minionCount() const { return minions_.size(); }
    size_t jobCount() const { return jobs_.size(); }
    /// Whether no job is open, no run is in progress, and all ended runs are acknowledged.
    bool isIdle() const;
    OwnerEpoch epoch() const { return grant_.epoch; }
    /// Whether a minion rejected an order because of a higher epoch, so that another owner has taken over the cell.
    bool isSuperseded() const { return isSuperseded_; }

private:
    /// A start that may have been carried out by a later instance of the minion than the one it was sent to.
    struct UnlistedStart {
        CellJobPtr job;
        TaskIndex task;
        /// Time by which its lease has expired.
        absl::Time leaseExpiresBy;
    };

    using JobList = boost::intrusive::list<CellJob>;

    // Jobs.
    CellJob* findJob(const JobKey&) const;
    /// @return the time of the claim that a message with this stamp makes; infinite past if it makes none.
    absl::Time claimTime(const std::optional<OwnerStamp>&, absl::Time now) const;
    /// @param claimedAt the time of the claim that the offer makes.
    /// @return whether an offer was held up for so long that the job that is open under its id came after it.
    bool isLateOffer(const JobOffer&, const CellJob& open, absl::Time claimedAt, absl::Time now) const;
    /// Sends the result of an offer that isn't taken up.
    void endUnopened(const JobOffer&, const DaemonId& entry, std::string event, JobEnd);
    void adoptRuns(CellJob&, absl::Time now);
    void finish(CellJob&, JobEnd, absl::Time now, absl::Duration retryAfter = absl::ZeroDuration(), RejectionReason = RejectionReason::Unstated);
    void sweepJobs(absl::Time now);
    void stopUnclaimedJobs(absl::Time now);
    /// Ends the jobs that lack starts which the evacuation of the data centre doesn't allow.
    void endEvacuatedJobs(absl::Time now);
    bool isStartBarred(const CellJob&, absl::Time now) const;
    /// Whether the claim of a job is so old that its runs must be stopped, to end before their leases do.
    bool isClaimOver(const CellJob&, absl::Time now) const;
    bool fitsAnyMinion(const ResourceVector& need) const;
    /// Whether a job that starts at the given time would end too late to be useful.
    bool cannotEndInTime(const CellJob&, absl::Time start) const;
    absl::Duration expectedWait(const CellJob&, absl::Time now) const;
    /// @return how much of the given capacity tasks of average size can use, in thousandths of a core.
    int64_t usableMilliCores(int64_t milliCores) const;
    absl::Duration retryAfter(absl::Duration wait);

    // Placement.
    void place(absl::Time now);
    bool placeTask(CellJob&, TaskIndex, absl::Time now);
    /// Whether the limits of the cell's runs and of its orders in flight leave room for another start of a job.
    bool hasRoomForStart(const CellJob&) const;
    size_t maxStartsInFlight() const { return std::min(policy_.maxStartsInFlight, policy_.maxStartsInFlightPerMinion * minions_.size()); }
    size_t runCount() const;
    /// Goes on with a placement that reached the limit of starts in flight.
    void resumePlacement(absl::Time now);
    bool exceedsQueueLimit(const CellJob&) const;
    bool mayStart(const CellJob&, absl::Time now) const;
    /// Whether runs of an earlier submission or offer of a job may still be in progress: a caller may submit the same id
    /// again.
    bool mayHaveEarlierRuns(const CellJob&, absl::Time now) const;
    /// Whether there are runs under the id of a job that don't belong to it.
    bool hasOtherRunsOf(const CellJob&) const;

    // Runs.
    void applyStartResult(LeasedMinion&, const StartResult&, absl::Time now);
    void runEnded(LeasedMinion&, const RunId&, RunEnd, absl::Time now);
    void requeue(LeasedMinion&, const RunId&);
    void taskFailed(LeasedMinion&, CellJob&, TaskIndex, absl::Time now);
    void stopRun(LeasedMinion&, Run&, absl::Time now);
    void sweepRuns(LeasedMinion&, absl::Time now);
    /// Whether a run that an earlier owner started has been without a claim for too long.
    bool isAdoptionOver(const LeasedMinion&, const Run&, absl::Time now) const;
    void sendStart(LeasedMinion&, Run&);
    /// @return whether the start of a run should be sent again, since its answer is late.
    bool isStartRepeatDue(const LeasedMinion&, const Run&, absl::Time now) const;
    /// Handles a start that may have been carried out: once no other start of the run is in flight, it is stopped.
    void startUnconfirmed(LeasedMinion&, Run&, absl::Time now);
    /// Removes the runs of a minion whose instance has ended or whose lease has expired, and requeues their tasks.
    void removeAllRuns(LeasedMinion&, std::string_view reason);
    void sweepUnlistedStarts(absl::Time now);
    void applyRunningRuns(LeasedMinion&, const RenewResult&, absl::Time sentAt, absl::Time now);
    void applyEndedRuns(LeasedMinion&, const RenewResult&, absl::Time now);
    void storeUnclaimedEnd(const EndedRun&);

    // Minions.
    LeasedMinion* findMinion(const MinionInstance&);
    /// @return the minion that an answer is from; null if it is unknown or was ordered under another epoch.
    LeasedMinion* findAnswering(const MinionInstance&, OwnerEpoch);
    /// Removes a minion whose instance has ended, with its runs.
    /// Handles an answer of another instance than the one that was ordered. A later one under the minion's id takes its place;
    /// until its report comes it gets no starts, but its runs are listed.
    /// @param answeredBy 0 if another minion answered at the address.
    void otherInstanceAnswered(LeasedMinion&, MinionStartTime answeredBy, absl::Time now);
    void removeMinion(LeasedMinion&, std::string_view reason);
    /// Stops what a minion runs that has left. It gets no more starts, and its lease isn't extended.
    void drainMinion(LeasedMinion&, absl::Time now);
    /// Removes the minions that have left, as far as they run nothing any more.
    void removeDrainedMinions(absl::Time now);
    void recordAnswer(LeasedMinion&, OrderFailure, int64_t clockMs, absl::Time now);
    void sendRenewal(LeasedMinion&, absl::Time now);
    bool isRenewalDue(const LeasedMinion&, absl::Time now) const;
    OrderHeader headerTo(const LeasedMinion&) const;
    /// Whether no run of a job that an earlier owner started goes on unknown to this one: all minions have listed their runs
    /// under this owner's epoch, or such runs have ended by time.
    bool areEarlierRunsKnown(const CellJob&, absl::Time now) const;
    /// Whether the first renewals were answered or have timed out, so that the runs on all reachable minions are known.
    bool areFirstRenewalsDone(absl::Time now) const;

    static std::string describe(const RunId&);
    void logEvent(std::string name, const JobKey&, const MinionId&, std::string detail);

    const CellGrant grant_;
    const DispatchPolicy& policy_;
    const JobOrder& order_;
    Random& random_;
    const ClaimLimit claimLimit_;
    const absl::Time ownedSince_;
    absl::Time lastTickAt_ = absl::InfinitePast();
    /// When this process last ran again after it had stood still.
    absl::Time resumedAt_ = absl::InfinitePast();
    bool isSuperseded_ = false;
    bool areMinionsKnown_ = false;
    bool isEvacuated_ = false;
    /// Until when jobs in progress may start their other tasks although the data centre is evacuated.
    absl::Time finishJobsUntil_ = absl::InfinitePast();
    uint64_t runCounter_ = 0;
    size_t startsInFlight_ = 0;
    /// Whether the last placement ended at a limit, with tasks left that fit on minions.
    bool isPlacementPaused_ = false;
    MinionTable minions_;
    const std::unique_ptr<InterferenceModel> interference_;
    const MinionChooser chooser_;
    /// In order of arrival. The list holds one reference to each job.
    JobList jobs_;
    absl::flat_hash_map<JobKey, CellJob*> jobsByKey_;
    absl::flat_hash_map<DaemonId, absl::Time> entryContacts_;
    /// Cancels of offers that aren't known here, by entry and offer number, with the time at which they arrived. Offers
    /// that wait for a grant reach the dispatcher on another way than cancels.
    absl::flat_hash_map<std::pair<DaemonId, uint64_t>, absl::Time> earlyCancels_;
    /// Ended runs of an earlier owner whose jobs haven't been offered to this owner yet.
    absl::flat_hash_map<JobKey, std::vector<EndedRun>> unclaimedEnds_;
    std::vector<UnlistedStart> unlistedStarts_;
    /// Moving average of the cores that a task needs, in thousandths of a core; 0 before the first job.
    double averageMilliCores_ = 0;
    CellTotals totals_;
    CellOutbox outbox_;
};

} // namespace trefoilwing
