#pragma once

#include "Adapters/Beast/HttpListener.h"
#include "Adapters/Histogram/HistogramMetrics.h"
#include "Base/WorkSignal.h"
#include "Daemon/FleetDaemon.h"
#include "Daemon/FleetLink.h"
#include "Daemon/MetricsPage.h"
#include "Daemon/PumpThread.h"
#include "Intake/CellChooser.h"
#include "Intake/FleetView.h"
#include "Intake/GrantTable.h"
#include "Intake/JobCoordinator.h"
#include "Intake/StartupGate.h"
#include "Placement/CellShard.h"
#include "Placement/PendingOffers.h"
#include "Ports/JobIntake.h"
#include "Ports/RoutingReader.h"
#include "Ports/SecondChoice.h"
#include "platform/CallerHandler.h"
#include "platform/MinionGateway.h"

#include <atomic>
#include <map>
#include <memory>

namespace trefoilwing {

/// An entry of a fleet. It accepts callers' jobs, and dispatches the tasks of the cells (sets of minions) that the
/// keepers grant it.
class FleetEntry : public FleetDaemon, public JobIntake, private SecondChoice, private PeerEvents, private MinionAnswers, private Pumped {
public:
    /// @param reader, log, metrics must outlive the entry.
    FleetEntry(const FleetSettings&, const RoutingReader& reader, EventLog& log, HistogramMetrics& metrics);
    ~FleetEntry() override;

    Result<Done> start() override;
    void reload(const FleetSettings&) override;
    void drain() override;
    void stop() override;

    void submit(Ticket, const IncomingJob&) override;
    void abandon(Ticket) override;
    RouteMatch findRoute(const std::string& host, const std::string& path) const override;
    bool isReady() const override;
    bool isStarting() const override { return isStarting_; }

private:
    using CellPtr = std::shared_ptr<CellShard>;
    /// A cell with its own random generator, which the cell's lock protects.
    struct OwnedCell {
        OwnedCell(const CellGrant& grant, const DispatchPolicy& policy, const JobOrder& order, FleetEntry& entry, const Evacuation& evacuation)
            : random(SeededRandom::freshSeed())
            , shard(grant, policy, order, { entry.gateway_, entry.link_.peers(), entry.link_.clock(), random, entry.log_ }, evacuation)
        {
        }

        SeededRandom random;
        CellShard shard;
    };
    struct SentLoad {
        CellLoad load;
        absl::Time at = absl::InfinitePast();
    };
    /// The loads of a cell that were last sent to the entries of this data centre and to those of the others.
    struct SentLoads {
        SentLoad local;
        SentLoad remote;
    };

    std::optional<CellGrant> chooseAgain(const RejectedPart&) override;

    void messageReceived(const DaemonId& from, PeerMessage) override;
    void receive(const DaemonId& from, const FleetUpdate&);
    void receive(const DaemonId& from, const CellLoad&);
    void receive(const DaemonId& from, const JobOffer&);
    void receive(const DaemonId& from, const JobCancel&);
    void receive(const DaemonId& from, const JobResult&);
    void receive(const DaemonId& from, const DaemonHeartbeat&);

    void answered(const CellId&, const StartResult&) override;
    void answered(const CellId&, const StopResult&) override;
    void answered(const CellId&, const RenewResult&) override;

    absl::Time pump(absl::Time now) override;
    void waitForWork(absl::Duration longest) override { signal_.wait(longest); }
    void wake() override { signal_.raise(); }

    void wakeFromIdle();
    void tryFinishStartup(absl::Time now);
    void applyRouting(const RoutingDocument&);
    void applyTable(RoutingTable);
    /// @return whether all minions of an owned cell, granted under this epoch, are known to this entry.
    bool areMinionsKnown(OwnerEpoch) const;
    void applyGrant(const CellGrant&);
    void applyEvacuation(const Evacuation&);
    void requestMissedUpdates(const DaemonId& keeper, const MissedUpdates&);
    /// @param keeper the keeper whose update removed the minion.
    void applyRemoval(const DaemonId& keeper, const RemovedMinion&);
    Evacuation evacuationOf(const DataCentreId&) const;
    void sendHeartbeats();
    /// Sends heartbeats to the owners of this entry's jobs, which claim these.
    void sendOwnerHeartbeats(absl::Time pumpedAt);
    /// Suspends the claims of this entry's jobs until it is known which of their callers have left.
    void checkCallers();
    DaemonHeartbeat makeHeartbeat() const;
    void sendLoads(absl::Time now);
    /// Decides whether a load must be sent now, and if so records it as sent.
    /// @return whether it must be sent.
    static bool isLoadDue(SentLoad&, const CellLoad&, absl::Duration minInterval, absl::Time now);
    /// Tells the senders of offers that waited for a grant that none of their tasks ran here.
    void rejectPending(const std::vector<PendingOffer>&, std::string_view reason);
    void expirePending(absl::Time now);
    void logPending(const PendingOffer&, std::string_view event, std::string_view reason);
    void checkKeepers(absl::Time now);
    void publishMetrics();
    /// @param lateness of the pump; negative if it was woken before it was due.
    void recordLateness(absl::Duration lateness);
    /// Publishes the lateness of this process's threads and the totals of its orders to minions, and logs them if late.
    void reportLateness();
    CellPtr findCell(const CellId&) const;
    /// @return the cell that the minion belongs to, if this entry owns it.
    CellPtr findCellOf(const MinionReport&) const;
    std::vector<CellPtr> allCells() const;
    std::shared_ptr<const RoutingTable> table() const;

    const FleetSettings settings_;
    const RoutingReader& reader_;
    EventLog& log_;
    HistogramMetrics& metrics_;
    FleetLink link_;
    const DispatchPolicy policy_;
    PriorityFirst order_;
    HttpLoop loop_;
    /// Of all listeners, whose connections share one budget.
    const std::shared_ptr<ConnectionGuard> guard_;
    platform::CallerHandler callerHandler_;
    platform::MinionGateway gateway_;
    HttpListener callers_;
    HttpListener readiness_;
    MetricsPage metricsPage_;
    JobCoordinator jobs_;

    mutable absl::Mutex viewMutex_;
    FleetView view_ ABSL_GUARDED_BY(viewMutex_);
    CellChooser chooser_ ABSL_GUARDED_BY(viewMutex_);
    std::shared_ptr<const RoutingTable> table_ ABSL_GUARDED_BY(viewMutex_);
    absl::Time tableAppliedAt_ ABSL_GUARDED_BY(viewMutex_);

    mutable absl::Mutex cellsMutex_;
    std::map<CellId, CellPtr> cells_ ABSL_GUARDED_BY(cellsMutex_);
    /// The grants that have been applied. Grants come from several threads, so an older one may come last.
    GrantTable appliedGrants_ ABSL_GUARDED_BY(cellsMutex_);
    PendingOffers pendingOffers_ ABSL_GUARDED_BY(cellsMutex_);

    std::atomic<bool> isDraining_ { false };
    /// Whether startup is still under way. Callers' requests wait until it ends.
    std::atomic<bool> isStarting_ { true };
    /// Whether new jobs are rejected, as the drain is so far that they might not end in time.
    std::atomic<bool> rejectsJobs_ { false };
    /// Whether the pump sleeps until the next heartbeat, as there is no other work.
    std::atomic<bool> isIdle_ { false };
    /// Whether a new owner waits for the claims of this entry's jobs.
    std::atomic<bool> areClaimsDue_ { false };
    /// The number of the last check of the callers that has ended.
    std::atomic<uint64_t> callersCheckedNumber_ { 0 };
    /// The remaining members are used by the pump's thread only.
    /// The number of checks of the callers that have been started.
    uint64_t callerChecks_ = 0;
    absl::Time heartbeatDue_ = absl::InfinitePast();
    absl::Time metricsDue_ = absl::InfinitePast();
    /// When the next load report is due, although the load doesn't change.
    absl::Time loadsDue_ = absl::InfiniteFuture();
    /// The time of the pump's next run, and its worst lateness since the metrics were last published.
    absl::Time pumpDue_ = absl::InfiniteFuture();
    absl::Duration worstPumpLateness_;
    bool areKeepersReachable_ = false;
    const absl::Time startedAt_;
    StartupGate gate_;
    std::map<CellId, SentLoads> sentLoads_;
    /// The number of refused answers of minions that was last logged.
    uint64_t loggedRefusedAnswers_ = 0;
    WorkSignal signal_;
    std::unique_ptr<PumpThread> thread_;
};

} // namespace trefoilwing
