#pragma once

#include "Base/EffectQueue.h"
#include "Base/StallFreeTime.h"
#include "Model/FleetMessages.h"
#include "Model/IncomingJob.h"
#include "Ports/CallerReplies.h"
#include "Ports/Clock.h"
#include "Ports/EventLog.h"
#include "Ports/Metrics.h"
#include "Ports/PeerLink.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <set>
#include <vector>

namespace trefoilwing {

/// The ports of the desk; all outlive it.
struct DeskPorts {
    CallerReplies& replies;
    PeerLink& peers;
    Clock& clock;
    EventLog& log;
    Metrics& metrics;
};

/// The jobs whose callers wait at this entry, as a shard under its own lock.
///
/// Each job is offered to the owner of one cell, or in parts to the owners of several, who have the last word on
/// it. When a cell gets another owner the part is offered to that one as a takeover.
class JobDesk {
public:
    /// @param firstLife higher than any life of an earlier run of this daemon.
    JobDesk(DeskPorts, uint64_t firstLife);

    /// Takes a job that has a route.
    /// @param shares the cells that run it; together they have all its tasks.
    void open(Ticket, const IncomingJob&, const Route&, const std::vector<CellShare>& shares);
    /// The caller went away before its answer.
    void abandoned(Ticket);
    void ended(const DaemonId& from, const JobResult&);
    /// A cell has a new owner.
    void moved(const CellGrant&);
    /// A pool is divided into other cells: its earlier cells have no owner any more.
    /// @param cell one of the new division.
    void divided(const CellId& cell);
    /// The owner of a cell gave a sign of life.
    void ownerHeard(const DaemonId&);
    /// This process ran late, so that signs of life waited unread.
    void recordDelay(absl::Duration lateness);
    /// Answers what has waited too long for its owner.
    void tick();

    /// Answers all that is open, as this process ends.
    void giveUpAll();

    size_t openCount() const;
    /// @return the owners that have the last word on an open job.
    std::set<DaemonId> openOwners() const;

private:
    enum class PartState {
        Open,
        Completed,
        /// Its owner's last word was that nothing of it ran or will run.
        NotRun,
        /// It failed or was given up, which ends the job.
        Broken,
    };

    struct Part {
        JobOffer offer;
        DaemonId owner;
        /// When it was offered to this owner, by the running time.
        absl::Time offeredAt;
        PartState state = PartState::Open;
    };

    struct OpenJob {
        std::vector<Ticket> tickets;
        std::string requestId;
        std::vector<Part> parts;
        absl::Time openedAt;
        absl::Time lateAt;
        absl::Time givenUpAt;
        /// The longest wait of a part for its first start.
        absl::Duration queued;
        /// The first word of an owner that its part wasn't run; the other parts are being cancelled.
        std::optional<JobResult> refusal;

        bool hasPart(PartState) const;
    };

    /// How a job ends for its callers.
    struct Outcome {
        CallerAnswer answer;
        std::string name;
    };

    bool isOwnerSilent(const OpenJob&, absl::Time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void join(OpenJob&, Ticket, const IncomingJob&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void openNew(Ticket, const IncomingJob&, const Route&, const std::vector<CellShare>&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    /// Takes note of an owner's last word.
    /// @return how the job ends, if that is settled.
    std::optional<Outcome> settle(OpenJob&, Part&, const JobResult&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    /// Cancels what is still open, and answers.
    void answer(const JobKey&, const Outcome&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void offer(const Part&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void cancel(const Part&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void cancelOpenParts(const OpenJob&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    DeskPorts ports_;
    mutable absl::Mutex mutex_;
    EffectQueue effects_;
    uint64_t lastLife_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<JobKey, OpenJob> jobs_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<Ticket, JobKey> tickets_ ABSL_GUARDED_BY(mutex_);
    StallFreeTime running_ ABSL_GUARDED_BY(mutex_);
    /// By the running time.
    absl::flat_hash_map<DaemonId, absl::Time> ownersHeard_ ABSL_GUARDED_BY(mutex_);
};

} // namespace trefoilwing
