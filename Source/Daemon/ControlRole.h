#pragma once

#include "Adapters/Clock/SeededRandom.h"
#include "Control/ConfigurationReplica.h"
#include "Control/ReplicatedConfiguration.h"
#include "Control/ReplicatedLedger.h"
#include "Daemon/GroupJournals.h"
#include "Daemon/GroupPump.h"
#include "Daemon/PumpThread.h"
#include "Model/Settings.h"
#include "Ports/EventLog.h"
#include "Ports/PeerLink.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace trefoilwing {

/// The ports that ControlRole uses.
struct ControlPorts {
    Clock& clock;
    PeerLink& peers;
    EventLog& log;
};

/// Holds this daemon's share of the replicated state: its members of the Raft groups that store the configuration
/// and the ledgers of submissions, and its copy of the configuration in force.
class ControlRole {
public:
    using ConfigurationListener = std::function<void(std::shared_ptr<const Configuration>)>;

    ControlRole(const DaemonSettings&, DaemonRun self, std::unique_ptr<GroupJournals>, ControlPorts, ConfigurationListener);
    ~ControlRole();

    /// Starts the journals and the threads of the groups.
    void start();

    /// @return the ledger of this data centre.
    Ledger& ledger() { return *ownLedger_; }
    const ConfigurationReplica& configuration() const { return replica_; }

    /// Publishes a change of the configuration. It fails with Unavailable if this daemon isn't a keeper.
    void publish(PublishRecord, ReplicatedConfiguration::PublishCallback done);

    void receive(const DaemonId& from, const LogMessage&, const GroupId&);
    void receive(const DaemonId& from, const ConfigurationQuery&);
    void receive(const DaemonId& from, const ConfigurationDelta&);

    /// Processes the configuration version from a daemon's heartbeat.
    void configurationVersionReceived(const DaemonId&, ConfigurationVersion);
    /// Tells the ledgers that a run of a daemon has ended.
    void daemonPresumedDead(const DaemonRun&);

    /// Removes a daemon that won't return from a group that this daemon leads.
    Result<Done> removeMember(const GroupId&, const DaemonId&);

    std::map<GroupId, GroupState> status() const;

    void stop();

private:
    /// Adds this daemon's member of a group. The factory creates it from its settings, its journal's content and its ports.
    template <typename Factory>
    auto* add(const GroupId&, const std::vector<DaemonId>& members, absl::Duration claimGuard, const Factory&);
    void addLedger(const DataCentreId&);
    void addKeeper();

    const DaemonSettings& settings_;
    DaemonRun self_;
    ControlPorts ports_;
    ConfigurationReplica replica_;
    std::unique_ptr<GroupJournals> journals_;
    std::vector<std::unique_ptr<SeededRandom>> randoms_;
    std::map<GroupId, std::unique_ptr<ReplicatedGroup>> groups_;
    ReplicatedLedger* ownLedger_ = nullptr;
    std::vector<ReplicatedLedger*> ledgers_;
    ReplicatedConfiguration* keeper_ = nullptr;
    std::vector<std::unique_ptr<GroupPump>> groupPumps_;
    std::vector<std::unique_ptr<PumpThread>> threads_;
};

} // namespace trefoilwing
