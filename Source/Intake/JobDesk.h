#pragma once

#include "Base/EffectQueue.h"
#include "Model/FleetMessages.h"
#include "Model/IncomingJob.h"
#include "Ports/CallerReplies.h"
#include "Ports/Clock.h"
#include "Ports/EventLog.h"
#include "Ports/Metrics.h"
#include "Ports/PeerLink.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
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
/// Each job is offered to the owner of one cell, which has the last word on it. When the cell gets another
/// owner the job is offered to that one as a takeover.
class JobDesk {
public:
    /// @param firstLife higher than any life of an earlier run of this daemon.
    JobDesk(DeskPorts, uint64_t firstLife);

    /// Takes a job that has a route and a cell.
    void open(Ticket, const IncomingJob&, const Route&, const CellGrant&);
    /// The caller went away before its answer.
    void abandoned(Ticket);
    void ended(const DaemonId& from, const JobEnded&);
    /// A cell has a new owner.
    void moved(const CellGrant&);
    /// The owner of a cell gave a sign of life.
    void ownerHeard(const DaemonId&);
    /// Answers what has waited too long for its owner.
    void tick();

    /// Answers all that is open, as this process ends.
    void giveUpAll();

    size_t openCount() const;

private:
    struct OpenJob {
        std::vector<Ticket> tickets;
        JobOffer offer;
        DaemonId owner;
        /// When the job was offered to this owner.
        absl::Time offeredAt;
        absl::Time openedAt;
        absl::Time lateAt;
        absl::Time givenUpAt;
    };

    bool isOwnerSilent(const OpenJob&, absl::Time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void join(OpenJob&, Ticket, const IncomingJob&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void openNew(Ticket, const IncomingJob&, const Route&, const CellGrant&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void answer(const JobKey&, const CallerAnswer&, std::string_view outcome, const JobEnded*) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void offer(const OpenJob&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void cancel(const OpenJob&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    DeskPorts ports_;
    mutable absl::Mutex mutex_;
    EffectQueue effects_;
    uint64_t lastLife_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<JobKey, OpenJob> jobs_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<Ticket, JobKey> tickets_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<DaemonId, absl::Time> ownersHeard_ ABSL_GUARDED_BY(mutex_);
};

} // namespace trefoilwing
