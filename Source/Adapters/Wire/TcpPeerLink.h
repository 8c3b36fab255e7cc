#pragma once

#include "Adapters/Wire/IncomingConnection.h"
#include "Adapters/Wire/OutgoingConnection.h"
#include "Model/Settings.h"
#include "Ports/Clock.h"
#include "Ports/PeerLink.h"

#include <absl/container/flat_hash_map.h>

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

namespace trefoilwing {

/// Sends to the other daemons over TCP and takes what they send.
///
/// One thread serves all connections. A message is encoded by the thread that sends it, and decoded
/// by the link's thread. Each daemon sends on connections that it made itself.
class TcpPeerLink : public PeerLink, private IncomingEvents, private PollHandler {
public:
    /// @param clock never steps; see SteadyClock.
    /// @param random is used by the link's thread only.
    TcpPeerLink(const DaemonSettings&, Incarnation, const Clock&, Random&, EventLog&, WireOptions = {});
    ~TcpPeerLink() override;

    /// Listens and begins to connect to the peers.
    /// @param events takes messages from now until stop() has returned; it must not call stop().
    Result<Done> start(PeerEvents& events);

    /// Ends all connections. What waits to be sent is lost.
    void stop();

    /// Encodes and queues a message. One to a daemon that the settings don't list is dropped.
    void send(const DaemonId& to, PeerMessage) override;

    /// @return what passed between this daemon and each peer so far.
    std::vector<PeerTraffic> traffic() const;

    /// @return the port on which the link listens.
    uint16_t port() const { return listener_.port(); }

private:
    using IncomingList = boost::intrusive::list<IncomingConnection>;

    void run();
    absl::Time serviceAll(absl::Time now);
    void reapClosed();
    void closeAll();

    void ready(Readiness, absl::Time now) override;
    Result<std::string> helloReceived(IncomingConnection&, std::string_view content) override;
    bool frameReceived(IncomingConnection&, std::string_view content) override;
    void connectionRefused(const IncomingConnection&, std::string_view reason) override;
    Result<Done> judgeHello(const Hello&) const;
    void closeOlder(const IncomingConnection& kept);

    const DaemonRun self_;
    const Endpoint endpoint_;
    const Clock& clock_;
    EventLog& log_;
    const WireOptions options_;
    Poller poller_;
    /// Doesn't change after the constructor, so that all threads may look up in it.
    absl::flat_hash_map<DaemonId, std::unique_ptr<OutgoingConnection>> peers_;
    PeerEvents* events_ = nullptr;
    Socket listener_;
    IncomingList incoming_;
    size_t strangers_ = 0;
    std::atomic<bool> isStopping_ { false };
    std::thread thread_;
};

} // namespace trefoilwing
