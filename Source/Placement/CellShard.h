#pragma once

#include "Base/EffectQueue.h"
#include "Placement/CellDispatcher.h"
#include "Ports/Clock.h"
#include "Ports/EventLog.h"
#include "Ports/MinionOrders.h"
#include "Ports/PeerLink.h"

#include <memory>
#include <optional>

namespace trefoilwing {

/// The ports that a cell owner uses; all must outlive it.
struct CellPorts {
    MinionOrders& minions;
    PeerLink& peers;
    Clock& clock;
    Random& random;
    EventLog& log;
};

/// A cell owned by this process: a CellDispatcher under its own lock, whose decisions are sent through the ports
/// outside the lock.
class CellShard {
public:
    /// @param evacuation the latest order known for the cell's data centre.
    CellShard(const CellGrant&, const DispatchPolicy&, const JobOrder&, CellPorts, const Evacuation& evacuation);

    void setMinionsKnown(bool areAllKnown);
    /// Applies an order to evacuate the cell's data centre, or its withdrawal. Orders come from several threads, so one with
    /// an older revision than the known one is ignored.
    void setEvacuated(const Evacuation&);
    void minionReported(const MinionReport&);
    void minionEnded(const MinionInstance&);
    void minionForgotten(const MinionInstance&);
    void offered(const JobOffer&, const DaemonId& entry);
    void cancelled(const JobCancel&, const DaemonId& entry);
    void entryHeartbeatReceived(const DaemonRun& entry, const std::optional<JobClaims>&);
    void answered(const StartResult&);
    void answered(const StopResult&);
    void answered(const RenewResult&);
    void tick();

    CellLoad load() const;
    CellTotals totals() const;
    bool isSuperseded() const;
    /// Whether no job, run or acknowledgement is pending, so that the next tick may be late.
    bool isIdle() const;
    size_t jobCount() const;
    size_t minionCount() const;
    std::vector<InterferingPair> interferingPairs() const;
    const CellId& cell() const { return grant_.cell; }
    OwnerEpoch epoch() const { return grant_.epoch; }

private:
    template <typename Decide>
    void run(const Decide&);
    void queueEffects(CellOutbox) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    const CellGrant grant_;
    CellPorts ports_;
    mutable absl::Mutex mutex_;
    CellDispatcher dispatcher_ ABSL_GUARDED_BY(mutex_);
    EvacuationRevision evacuationRevision_ ABSL_GUARDED_BY(mutex_);
    EffectQueue effects_;
};

} // namespace trefoilwing
