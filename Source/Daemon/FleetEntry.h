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
#include "Intake/JobDesk.h"
#include "Intake/StartGate.h"
#include "Placement/CellShard.h"
#include "Ports/JobIntake.h"
#include "Ports/RoutingReader.h"
#include "platform/FrontDoor.h"
#include "platform/MinionGateway.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>

namespace trefoilwing {

/// An entry of a fleet: takes callers' jobs, and owns the cells that the keepers grant it.
class FleetEntry : public FleetDaemon, public JobIntake, private PeerEvents, private MinionAnswers, private Pumped {
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
    /// A cell with a source of its own, so that draws need no other lock than the cell's.
    struct OwnedCell {
        OwnedCell(const CellGrant& grant, const DispatchPolicy& policy, const JobOrder& order, FleetEntry& entry)
            : random(SeededRandom::freshSeed())
            , shard(grant, policy, order, { entry.gateway_, entry.link_.peers(), entry.link_.clock(), random, entry.log_ })
        {
        }

        SeededRandom random;
        CellShard shard;
    };
    struct ToldLoad {
        CellLoad load;
        absl::Time at = absl::InfinitePast();
    };
    /// What was last told of a cell, to the entries of this data centre and of the others.
    struct ToldLoads {
        ToldLoad near;
        ToldLoad far;
    };
    struct EarlyOffer {
        JobOffer offer;
        DaemonId from;
        absl::Time at;
    };

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
    void openGate(absl::Time now);
    void takeRouting(const RoutingDocument&);
    void takeGrant(const CellGrant&);
    void pulse();
    void tellLoads(absl::Time now);
    /// Takes note that the load is told now.
    /// @return whether it is.
    static bool isTellDue(ToldLoad&, const CellLoad&, absl::Duration shortestInterval, absl::Time now);
    std::vector<EarlyOffer> takeEarlyOffers(const std::function<bool(const EarlyOffer&)>& isTaken) ABSL_EXCLUSIVE_LOCKS_REQUIRED(cellsMutex_);
    /// Tells those who offered that nothing of their jobs ran here.
    void refuseEarlyOffers(const std::function<bool(const EarlyOffer&)>& isRefused);
    void watchKeepers(absl::Time now);
    void publishMetrics();
    /// @param lateness of the pump; below 0 if it was woken up before it was due.
    void noteLateness(absl::Duration lateness);
    /// Logs and publishes how late this process runs, and what became of its orders.
    void watchLateness();
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
    platform::FrontDoor door_;
    platform::MinionGateway gateway_;
    HttpListener callers_;
    HttpListener readiness_;
    MetricsPage metricsPage_;
    JobDesk desk_;

    mutable absl::Mutex viewMutex_;
    FleetView view_ ABSL_GUARDED_BY(viewMutex_);
    CellChooser chooser_ ABSL_GUARDED_BY(viewMutex_);
    std::shared_ptr<const RoutingTable> table_ ABSL_GUARDED_BY(viewMutex_);
    absl::Time tableSince_ ABSL_GUARDED_BY(viewMutex_);

    mutable absl::Mutex cellsMutex_;
    std::map<CellId, CellPtr> cells_ ABSL_GUARDED_BY(cellsMutex_);
    std::vector<EarlyOffer> earlyOffers_ ABSL_GUARDED_BY(cellsMutex_);

    std::atomic<bool> isDraining_ { false };
    /// Whether the gate is closed; its callers wait at the door.
    std::atomic<bool> isStarting_ { true };
    /// Whether the drain has come so far that new jobs might not end in time.
    std::atomic<bool> refusesJobs_ { false };
    /// Whether the pump sleeps long, as nothing is under way.
    std::atomic<bool> isIdle_ { false };
    /// The rest is used by the pump's thread only.
    absl::Time pulseDue_ = absl::InfinitePast();
    absl::Time metricsDue_ = absl::InfinitePast();
    /// When the pump should run again, and how late it did, at the worst since metrics were last published.
    absl::Time pumpDue_ = absl::InfiniteFuture();
    absl::Duration worstPumpLateness_;
    bool hearsKeepers_ = false;
    const absl::Time startedAt_;
    StartGate gate_;
    std::map<CellId, ToldLoads> toldLoads_;
    WorkSignal signal_;
    std::unique_ptr<PumpThread> thread_;
};

} // namespace trefoilwing
