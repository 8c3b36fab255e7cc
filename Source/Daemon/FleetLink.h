#pragma once

#include "Adapters/Clock/SeededRandom.h"
#include "Adapters/Clock/SteadyClock.h"
#include "Adapters/Wire/TcpPeerLink.h"
#include "Daemon/AddressResolver.h"
#include "Daemon/LoopbackLink.h"
#include "Model/FleetSettings.h"

namespace trefoilwing {

/// Connects a daemon of a fleet to the other daemons. Messages to itself are delivered locally.
class FleetLink {
public:
    /// @param events, log must outlive the link.
    FleetLink(const FleetSettings&, PeerEvents& events, EventLog& log);

    Result<Done> start() { return tcpLink_.start(events_); }
    void stop() { tcpLink_.stop(); }

    const DaemonRun& self() const { return self_; }
    PeerLink& peers() { return peers_; }
    /// @return the number of other daemons that this one is connected to.
    size_t connectedPeers() const;
    /// @return the total size of the messages that wait to be sent.
    Bytes queuedBytes() const { return tcpLink_.queuedBytes(); }
    SteadyClock& clock() { return clock_; }
    const SteadyClock& clock() const { return clock_; }

private:
    PeerEvents& events_;
    const DaemonRun self_;
    SteadyClock clock_;
    SeededRandom random_;
    AddressResolver resolver_;
    TcpPeerLink tcpLink_;
    LoopbackLink peers_;
};

/// @return the ids of the seed daemons in the settings.
std::vector<DaemonId> seedDaemons(const FleetSettings&);

} // namespace trefoilwing
