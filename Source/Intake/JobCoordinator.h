#pragma once

#include "Base/EffectQueue.h"
#include "Base/StallFreeTime.h"
#include "Intake/GrantTable.h"
#include "Model/FleetMessages.h"
#include "Model/IncomingJob.h"
#include "Ports/CallerReplies.h"
#include "Ports/Clock.h"
#include "Ports/EventLog.h"
#include "Ports/Metrics.h"
#include "Ports/PeerLink.h"
#include "Ports/SecondChoice.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace trefoilwing {

/// The ports that a JobCoordinator uses; all must outlive it.
struct JobCoordinatorPorts {
    CallerReplies& replies;
    PeerLink& peers;
    Clock& clock;
    EventLog& log;
    Metrics& metrics;
};

/// How rejected parts of jobs are offered to other cells.
struct SecondChoices {
    /// Chooses the cells; must outlive the coordinator. Called without a lock. Only used if maxPerPart isn't 0.
    SecondChoice* cells = nullptr;
    /// Maximum number of further cells that a part is offered to.
    uint32_t maxPerPart = 0;
};

/// Tracks the jobs of the callers that are connected to this entry, from submission to answer, under its own lock.
///
/// Each job is offered to the owner of one cell, or in parts to the owners of several cells. The owners decide the
/// result, from which the caller is answered. When the owner of a cell changes, open parts are offered to the new
/// owner as takeovers. A part that its owner rejected as not run is offered to another cell that is expected to start it
/// in time, as often as the settings allow.
class JobCoordinator {
public:
    /// @param firstOfferNumber the number that offers are counted from; higher than any that an earlier incarnation
    /// of this daemon used.
    /// @param maxClaimAge the age at which the claim of a job has lapsed, see ClaimLimit.
    JobCoordinator(JobCoordinatorPorts, uint64_t firstOfferNumber, absl::Duration maxClaimAge, SecondChoices = {});

    /// Opens a job and offers it to owners. A job that is already open only gets one more waiting caller.
    /// @param shares the cells that run the job; together they cover all its tasks.
    void open(Ticket, const IncomingJob&, const Route&, const std::vector<CellShare>& shares);
    /// Lets a caller wait for a job that is open already, whether or not it could be opened now.
    /// @return false if the job isn't open.
    bool joinOpen(Ticket, const IncomingJob&);
    /// Handles a caller that disconnected before its answer.
    void abandoned(Ticket);
    void resultReceived(const DaemonId& from, const JobResult&);
    /// Handles a new grant of a cell, also to the process that has it already: that process has dropped the offers of its
    /// earlier grant. Grants that are older than a known one are ignored. Jobs whose claim has lapsed aren't offered to the
    /// new owner.
    void ownerChanged(const CellGrant&);
    /// Handles a new division of a pool into cells; the previous cells have no owner any more.
    /// @param cell any cell of the new division.
    void poolDivided(const CellId& cell);
    /// Records a load report of a cell owner.
    /// @return whether the owner's process or grant is a new one that has been offered jobs but no claim of them yet, so
    /// that a heartbeat should be sent to it at once.
    bool loadReceived(const CellGrant&, absl::Time sentAt);
    /// Records that this process was delayed, so that received messages were read late. The delay doesn't count as
    /// silence of the owners.
    void recordDelay(absl::Duration lateness);
    /// Answers jobs that are past their deadline or whose owner is silent.
    void tick();

    /// Answers all open jobs when this process shuts down.
    void answerAllAsGivenUp();

    size_t openCount() const;
    /// @return the owners of open parts of jobs.
    std::set<DaemonId> owners() const;
    /// Claims the open jobs whose claim hasn't lapsed. Call it only if all callers that have left are known to have left.
    /// @return the owners of open parts of jobs, with the claims of these; unset for an owner that hasn't reported its
    /// load.
    std::map<DaemonId, std::optional<JobClaims>> claimJobs();

private:
    enum class PartState {
        Open,
        /// Its owner rejected it, and another cell is being chosen for it without the lock.
        Choosing,
        Completed,
        /// Its owner reported that no task of it ran or will run.
        NotRun,
        /// It failed or was abandoned, which ends the job.
        Aborted,
    };

    struct Part {
        JobOffer offer;
        /// The process that it was offered to.
        DaemonRun owner;
        /// When it was offered to this owner, on the clock of stallFreeTime_.
        absl::Time offeredAt;
        PartState state = PartState::Open;
        /// Number of further cells that it was offered to.
        uint32_t secondChoices = 0;
        /// Time from the job's arrival to the last offer to another cell.
        absl::Duration waitedElsewhere;
    };

    /// The newest load report of an owner.
    struct OwnerReport {
        OwnerStamp stamp;
        /// The highest epoch of its cells. It shows which of two processes is the newer one, also after a step of the
        /// owner's time of day, from which incarnations are taken.
        OwnerEpoch epoch;
    };

    struct OpenJob {
        std::vector<Ticket> tickets;
        std::string requestId;
        std::vector<Part> parts;
        absl::Time openedAt;
        /// When its callers were last known to wait for it.
        absl::Time claimedAt;
        bool isLapseLogged = false;
        absl::Time lateAt;
        absl::Time timeoutAt;
        /// Longest time that a part waited for its first start.
        absl::Duration queued;
        /// The first report that a part wasn't run; the other parts are being cancelled.
        std::optional<JobResult> rejection;
        /// Cells that any part was offered to.
        std::set<CellId> offeredCells;
        /// Data centres whose owners rejected a part because they are evacuated.
        std::set<DataCentreId> evacuated;

        bool hasPart(PartState) const;
        /// @return whether the result of a part isn't known yet.
        bool isAwaitingParts() const { return hasPart(PartState::Open) || hasPart(PartState::Choosing); }
    };

    /// The result of a job for its callers.
    struct Outcome {
        CallerAnswer answer;
        std::string name;
    };

    bool isOwnerSilent(const OpenJob&, absl::Time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    /// @return whether the job went unclaimed for so long that its callers may have submitted it elsewhere. It is never
    /// claimed again.
    bool isClaimLapsed(const OpenJob& job, absl::Time now) const { return now - job.claimedAt > maxClaimAge_; }
    void join(OpenJob&, Ticket, const IncomingJob&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void openNew(Ticket, const IncomingJob&, const Route&, const std::vector<CellShare>&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    /// Applies an owner's result of one part.
    /// @return the result of the job, if it is known.
    std::optional<Outcome> applyResult(OpenJob&, Part&, const JobResult&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    /// @return what is wanted of another cell for a part; unset if the rejection stands.
    std::optional<RejectedPart> wantedAfter(const OpenJob&, const Part&, const JobResult&) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    /// Offers a rejected part to the chosen cell, or applies the rejection if there is none.
    /// @return what is wanted of yet another cell, if the chosen one can't be used any more.
    std::optional<RejectedPart> applyChoice(const JobResult& rejection, const std::optional<CellGrant>& choice);
    void offerAgain(OpenJob&, Part&, const CellGrant&, const JobResult& rejection) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void logIgnored(const DaemonId& from, const JobResult&, const OpenJob&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    /// Cancels the parts that are still open and answers the callers.
    /// @param decidingOffer the number of the offer whose result decided the outcome; 0 if no result did.
    void answer(const JobKey&, const Outcome&, uint64_t decidingOffer = 0) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    /// Offers a part under a number of its own.
    void offer(Part&, const CellGrant&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    /// Cancels an open part at its owner and offers it to the owner of a newer grant.
    void move(const OpenJob&, Part&, const CellGrant&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void cancel(const Part&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void cancelOpenParts(const OpenJob&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void logLapse(const JobKey&, const OpenJob&, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    std::optional<OwnerStamp> stampOf(const DaemonId& owner) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    JobCoordinatorPorts ports_;
    const absl::Duration maxClaimAge_;
    const SecondChoices secondChoices_;
    mutable absl::Mutex mutex_;
    EffectQueue effects_;
    uint64_t lastOfferNumber_ ABSL_GUARDED_BY(mutex_);
    GrantTable grants_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<JobKey, OpenJob> jobs_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<Ticket, JobKey> tickets_ ABSL_GUARDED_BY(mutex_);
    StallFreeTime stallFreeTime_ ABSL_GUARDED_BY(mutex_);
    /// On the clock of stallFreeTime_.
    absl::flat_hash_map<DaemonId, absl::Time> ownerContacts_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<DaemonId, OwnerReport> ownerReports_ ABSL_GUARDED_BY(mutex_);
};

} // namespace trefoilwing
