#pragma once

#include "Adapters/Clock/SystemClock.h"
#include "Adapters/Histogram/HistogramMetrics.h"
#include "Adapters/Http/CallerApi.h"
#include "Adapters/Http/HttpServer.h"
#include "Adapters/Http/MinionApi.h"
#include "Adapters/Http/OperatorApi.h"
#include "Adapters/Wire/TcpPeerLink.h"
#include "Daemon/ControlRole.h"
#include "Daemon/DeclarationStore.h"
#include "Daemon/EntryRole.h"
#include "Daemon/LoopbackLink.h"
#include "Daemon/MembershipRole.h"
#include "Daemon/OperationsRole.h"
#include "Model/Settings.h"
#include "Ports/EventLog.h"
#include "Ports/MinionSink.h"

#include <memory>

namespace trefoilwing {

/// The stand-alone daemon: creates its roles from the settings, and routes messages and events between them.
class Daemon : public PeerEvents, public MinionSink, public MembershipEvents {
public:
    /// Opens the data folder and creates the daemon.
    /// @param metrics, log must outlive the daemon.
    /// @return the daemon, or an error that names the faulty file and the remedy.
    static Result<std::unique_ptr<Daemon>> create(const DaemonSettings&, HistogramMetrics& metrics, EventLog& log);
    ~Daemon() override;

    /// Binds the addresses and starts serving.
    /// @return an error that names the address that couldn't be bound, if any.
    Result<Done> start();

    /// Rejects new work, waits for accepted work to end, and lets callers fetch the outcomes.
    /// @return whether all accepted work ended before the limit.
    bool drain(absl::Duration limit);

    /// Stops all threads.
    void stop();

    void messageReceived(const DaemonId& from, PeerMessage) override;

    Result<absl::Duration> announced(const MinionAnnouncement&) override;
    void resultsPosted(ResultBatch) override;

    void minionAnnounced(const MinionAnnouncement&) override;
    void minionRemoved(const ServiceId&, const MinionId&) override;
    void daemonJoined(const DaemonRun&) override;
    void daemonPresumedDead(const DaemonRun&) override;
    void brokersChanged() override;

private:
    Daemon(const DaemonSettings&, Incarnation, std::unique_ptr<GroupJournals>, HistogramMetrics&, EventLog&);

    void configurationChanged(const Configuration&);

    const DaemonSettings settings_;
    EventLog& log_;
    SystemClock clock_;
    DaemonRun self_;
    DeclarationStore declarations_;
    SteadyClock steadyClock_;
    SeededRandom linkRandom_;
    TcpPeerLink tcpLink_;
    LoopbackLink peers_;
    MembershipRole membership_;
    ControlRole control_;
    std::unique_ptr<EntryRole> entry_;
    std::unique_ptr<PumpThread> membershipThread_;
    HttpServer server_;
    MinionApi minionApi_;
    std::unique_ptr<CallerApi> callerApi_;
    OperationsRole operations_;
    OperatorApi operatorApi_;
};

} // namespace trefoilwing
