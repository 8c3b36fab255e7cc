#pragma once

#include "Adapters/Beast/HttpListener.h"
#include "Adapters/Disk/DiskJournal.h"
#include "Adapters/Disk/PosixFileSystem.h"
#include "Adapters/Histogram/HistogramMetrics.h"
#include "Base/WorkSignal.h"
#include "Control/FleetRegistry.h"
#include "Control/OwnerAssigner.h"
#include "Control/ReplicatedFleet.h"
#include "Daemon/FleetDaemon.h"
#include "Daemon/FleetLink.h"
#include "Daemon/MetricsPage.h"
#include "Daemon/PumpThread.h"
#include "Intake/FleetView.h"
#include "Ports/FleetOperations.h"
#include "Ports/RoutingReader.h"
#include "platform/ControlHandler.h"

#include <memory>

namespace trefoilwing {

/// A keeper of a fleet. Keepers store the routing table and the owners of the cells in a replicated log, receive the
/// reports of minions and the heartbeats of daemons, and send each daemon the changes that it doesn't have yet.
class FleetKeeper : public FleetDaemon, private FleetOperations, private PeerEvents, private Pumped {
public:
    /// @return the keeper, or an error that describes the fault of the data folder.
    static Result<std::unique_ptr<FleetKeeper>> create(const FleetSettings&, const RoutingReader&, EventLog&, HistogramMetrics&);
    ~FleetKeeper() override;

    Result<Done> start() override;
    void reload(const FleetSettings&) override;
    void drain() override;
    void stop() override;

private:
    FleetKeeper(const FleetSettings&, const RoutingReader&, EventLog&, HistogramMetrics&);

    Result<Done> openJournal();
    /// Opens the journal's folder. A damaged one is moved aside, and an empty one takes its place: this keeper then joins its
    /// group as a new member.
    Result<std::unique_ptr<DiskJournal>> openFolder();

    void minionReported(const MinionReport&) override;
    void minionLeft(const MinionId&) override;
    /// Has the group remember a report that the registry has taken.
    void reportTaken(const MinionReport&);
    void publish(RoutingDocument, std::function<void(Result<RoutingVersion>)> done) override;
    EvacuationOrderNumber evacuate(const DataCentreId&, bool isEvacuated, std::function<void(Result<Done>)> done) override;
    void abandonEvacuation(EvacuationOrderNumber) override;
    void readNewest(std::function<void(Result<RoutingDocumentPtr>)> done) override;

    void messageReceived(const DaemonId& from, PeerMessage) override;
    void receive(const DaemonId& from, const DaemonHeartbeat&);
    void receive(const DaemonId& from, const FleetUpdate&);

    absl::Time pump(absl::Time now) override;
    void waitForWork(absl::Duration longest) override { signal_.wait(longest); }
    void wake() override { signal_.raise(); }

    void stateChanged(const FleetState&);
    void applyRouting(const RoutingDocument&);
    void publishEvacuations(const FleetState&);
    void assignOwners(absl::Time now);
    /// Proposes again what the log lacks of the minions' reports.
    void proposeUnlogged(absl::Time now);
    void sendUpdates();
    void sendHeartbeats();
    void updateLeadership();
    void logMemberChanges(const GroupState&);
    void logFailedElections(const GroupState&);
    void publishMetrics();

    const FleetSettings settings_;
    const RoutingReader& reader_;
    EventLog& log_;
    HistogramMetrics& metrics_;
    PosixFileSystem files_;
    FleetLink link_;
    SeededRandom logRandom_;
    HttpLoop loop_;
    /// Of all listeners, whose connections share one budget.
    const std::shared_ptr<ConnectionGuard> guard_;
    platform::ControlHandler controlHandler_;
    HttpListener control_;
    MetricsPage metricsPage_;
    std::unique_ptr<DiskJournal> journal_;
    /// Whether the folder of an earlier journal was damaged.
    bool isJournalReplaced_ = false;
    std::unique_ptr<ReplicatedFleet> group_;

    mutable absl::Mutex mutex_;
    FleetRegistry registry_ ABSL_GUARDED_BY(mutex_);
    FleetView peerView_ ABSL_GUARDED_BY(mutex_);
    std::map<CellId, CellGrant> grants_ ABSL_GUARDED_BY(mutex_);
    OwnerAssigner assigner_ ABSL_GUARDED_BY(mutex_);

    std::atomic<bool> isDraining_ { false };
    /// The remaining members are used by the pump's thread only.
    absl::Time heartbeatDue_ = absl::InfinitePast();
    absl::Time metricsDue_ = absl::InfinitePast();
    bool isLeading_ = false;
    std::optional<MemberId> leader_;
    /// The members and the number of failed elections that were last logged.
    std::vector<Member> loggedMembers_;
    uint64_t loggedFailedElections_ = 0;
    absl::Time electionLogDue_ = absl::InfinitePast();
    /// The journal's failure that was last logged.
    std::string journalFailure_;
    WorkSignal signal_;
    std::unique_ptr<PumpThread> thread_;
};

} // namespace trefoilwing
