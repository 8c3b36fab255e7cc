#pragma once

#include "Handover/ModelMinion.h"
#include "Handover/ModelNetwork.h"
#include "Intake/FleetView.h"
#include "Intake/GrantTable.h"
#include "Intake/JobCoordinator.h"
#include "Placement/CellDispatcher.h"
#include "Placement/PendingOffers.h"
#include "Support/RecordingEventLog.h"
#include "Support/SeededRandom.h"

#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace trefoilwing {

/// One process of an entry: the decision objects of FleetEntry, composed as there, on a model's network.
class ModelEntry final : private PeerLink, private CallerReplies, private Metrics {
public:
    struct World {
        ModelNetwork& network;
        CellId cell;
        std::vector<DaemonId> keepers;
        /// Delivers a message to another daemon.
        std::function<void(const DaemonId& from, const DaemonId& to, const PeerMessage&)> deliver;
        /// @return the minion at an address.
        std::function<ModelMinion*(const std::string& address)> findMinion;
        std::function<void(const JobKey&, AnswerKind)> answered;
        /// Carries out an action once the process with this incarnation runs; drops it if that has ended.
        std::function<void(const DaemonRun&, ModelNetwork::Action)> whenRunning;
    };

    ModelEntry(DaemonRun, World&, DataCentreId);

    const DaemonRun& self() const { return self_; }
    /// @return whether the job could be offered to an owner.
    bool submit(const JobKey&, uint32_t tasks);
    void receive(const DaemonId& from, const PeerMessage&);
    /// Ends the callers' wait. The process learns of it when it reads the closes of their connections.
    /// @return the jobs that they waited for, and what to pass to closeRead().
    std::map<Ticket, JobKey> callersLeave() { return std::exchange(callers_, {}); }
    void closeRead(Ticket);
    /// Does the periodic work.
    void pump();

private:
    void send(const DaemonId& to, PeerMessage) override;
    void reply(Ticket, const CallerAnswer&) override;
    void count(std::string_view, const MetricLabels&, uint64_t) override { }
    void observe(std::string_view, const MetricLabels&, absl::Duration) override { }
    void set(std::string_view, const MetricLabels&, double) override { }

    void receiveTyped(const DaemonId& from, const FleetUpdate&);
    void receiveTyped(const DaemonId& from, const JobOffer&);
    void receiveTyped(const DaemonId& from, const JobCancel&);
    void receiveTyped(const DaemonId& from, const JobResult&);
    void receiveTyped(const DaemonId& from, const CellLoad&);
    void receiveTyped(const DaemonId& from, const DaemonHeartbeat&);
    void applyGrant(const CellGrant&);
    DaemonHeartbeat makeHeartbeat() const;
    /// Sends what the cell has decided.
    void flush();
    template <typename Order>
    void sendOrder(const Order&);
    bool areMinionsKnown() const;

    const DaemonRun self_;
    World& world_;
    const DataCentreId dataCentre_;
    RecordingEventLog log_;
    DispatchPolicy policy_;
    LeastSlackFirst order_;
    SeededRandom random_ { 1 };
    JobCoordinator jobs_;
    FleetView view_;
    GrantTable grants_;
    PendingOffers pending_;
    std::unique_ptr<CellDispatcher> cell_;
    std::optional<CellLoad> lastLoad_;
    std::map<Ticket, JobKey> callers_;
    uint64_t lastTicket_ = 0;
    absl::Time heartbeatDue_ = absl::InfinitePast();
    absl::Time loadDue_ = absl::InfinitePast();
};

} // namespace trefoilwing
