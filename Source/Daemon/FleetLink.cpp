#include "Daemon/FleetLink.h"

#include "Adapters/Clock/SystemClock.h"
#include "Daemon/IncomingLimits.h"

#include <algorithm>

namespace trefoilwing {

namespace {

    /// The send queues of all peers together may hold the memory of the process divided by this.
    constexpr uint64_t queueMemoryDivisor = 8;

    /// All daemons of a fleet of hundreds may connect at the same moment, after a loss of power.
    constexpr size_t maxUnidentifiedPeers = 512;
    /// Connections whose daemon isn't known yet may use the descriptors of the process divided by this.
    constexpr size_t unidentifiedDivisor = 6;
    /// So may connections of daemons, if the settings limit the descriptors.
    constexpr size_t identifiedDivisor = 6;
    /// Incomplete messages of all daemons may hold the memory of the process divided by this, or one whole message.
    constexpr uint64_t receiveMemoryDivisor = 8;
    constexpr uint64_t receiveBufferBytes = 1U << 20U;

    /// Timeouts for daemons that send heartbeats several times a second: a silent connection must be closed well before
    /// its daemon is presumed dead.
    WireOptions fleetWireOptions(const FleetSettings& settings)
    {
        WireOptions options;
        options.maxQueuedForAll = Bytes((uint64_t { settings.memoryMb } << 20U) / queueMemoryDivisor);
        options.maxUnidentified = std::min(maxUnidentifiedPeers, maxDescriptors(settings) / unidentifiedDivisor);
        if (settings.maxDescriptors > 0)
            options.maxIdentified = maxDescriptors(settings) / identifiedDivisor;
        options.maxReceiving = Bytes(std::max((uint64_t { settings.memoryMb } << 20U) / receiveMemoryDivisor, options.maxFrame.value() + receiveBufferBytes));
        options.maxQueueAge = absl::Seconds(1);
        // The first packet to a VM that is just starting is lost, and the kernel would retransmit it only after 1 s.
        options.handshakeTimeout = absl::Milliseconds(200);
        options.sendTimeout = absl::Milliseconds(600);
        options.pingInterval = absl::Milliseconds(1000);
        options.receiveTimeout = absl::Milliseconds(3000);
        options.firstBackoff = absl::Milliseconds(50);
        options.maxBackoff = absl::Milliseconds(150);
        return options;
    }

    Incarnation nextIncarnation()
    {
        return Incarnation(static_cast<uint64_t>(absl::ToUnixMicros(SystemClock().now())));
    }

} // namespace

FleetLink::FleetLink(const FleetSettings& settings, PeerEvents& events, EventLog& log)
    : events_(events)
    , self_ { DaemonId(settings.address), nextIncarnation() }
    , random_(SeededRandom::freshSeed())
    , resolver_(settings.peerPort)
    , tcpLink_(self_, Endpoint { settings.address, static_cast<uint16_t>(settings.peerPort) }, resolver_, clock_, random_, log, fleetWireOptions(settings))
    , peers_(self_.daemon, tcpLink_, events)
{
}

size_t FleetLink::connectedPeers() const
{
    const std::vector<PeerTraffic> traffic = tcpLink_.traffic();
    return static_cast<size_t>(std::count_if(traffic.begin(), traffic.end(), [](const PeerTraffic& peer) { return peer.isConnected; }));
}

std::vector<DaemonId> seedDaemons(const FleetSettings& settings)
{
    std::vector<DaemonId> daemons;
    for (const Endpoint& seed : settings.seeds)
        daemons.emplace_back(seed.address);
    return daemons;
}

} // namespace trefoilwing
