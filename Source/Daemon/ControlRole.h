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

/// The ports that the control role is composed with.
struct ControlPorts {
    Clock& clock;
    PeerLink& peers;
    EventLog& log;
};

/// Keeps the durable state: this daemon's members of the configuration's and the ledgers' groups,
/// and its copy of the configuration in force.
class ControlRole {
public:
    using ConfigurationListener = std::function<void(std::shared_ptr<const Configuration>)>;

    ControlRole(const DaemonSettings&, DaemonRun self, std::unique_ptr<GroupJournals>, ControlPorts, ConfigurationListener);
    ~ControlRole();

    /// Begins to take part in the groups.
    void start();

    /// The ledger of this data centre.
    Ledger& ledger() { return *ownLedger_; }
    const ConfigurationReplica& configuration() const { return replica_; }

    /// Publishes a change, or fails as Unavailable where this daemon is no keeper.
    void publish(PublishRecord, ReplicatedConfiguration::PublishCallback done);

    void receive(const DaemonId& from, const LogMessage&, const GroupId&);
    void receive(const DaemonId& from, const ConfigurationQuery&);
    void receive(const DaemonId& from, const ConfigurationDelta&);

    /// A daemon told its version of the configuration.
    void versionReceived(const DaemonId&, ConfigurationVersion);
    /// A daemon's run has ended.
    void daemonGone(const DaemonRun&);

    /// Takes a daemon that won't come back out of a group that this daemon leads.
    Result<Done> removeMember(const GroupId&, const DaemonId&);

    std::map<GroupId, GroupState> status() const;

    void stop();

private:
    /// Adds a member of a group, which the factory makes from its settings, content and ports.
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
