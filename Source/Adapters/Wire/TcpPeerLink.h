#pragma once

#include "Adapters/Wire/IncomingConnection.h"
#include "Adapters/Wire/OutgoingConnection.h"
#include "Base/MutexLock.h"
#include "Model/Settings.h"
#include "Ports/Clock.h"
#include "Ports/PeerLink.h"

#include <absl/container/flat_hash_map.h>

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

namespace trefoilwing {

/// Finds the endpoints of daemons that the settings don't list.
class PeerResolver {
public:
    virtual ~PeerResolver() = default;

    /// @return the endpoint on which the daemon listens for its peers, or nothing if it can't be derived from its id.
    virtual std::optional<Endpoint> resolve(const DaemonId&) const = 0;
};

/// Exchanges messages with the other daemons over TCP.
///
/// One thread serves all connections. A message is encoded by the thread that sends it, and decoded
/// by the link's thread. Each daemon sends only on connections that it opened itself.
class TcpPeerLink : public PeerLink, private IncomingEvents, private PollHandler {
public:
    /// @param clock never steps; see SteadyClock.
    /// @param random is used by the link's thread only.
    TcpPeerLink(const DaemonSettings&, Incarnation, const Clock&, Random&, EventLog&, WireOptions = {});
    /// Starts without a list of peers: every daemon that the resolver finds an endpoint for is a peer.
    /// @param endpoint where this daemon listens.
    /// @param resolver must outlive the link.
    TcpPeerLink(DaemonRun self, Endpoint endpoint, const PeerResolver& resolver, const Clock&, Random&, EventLog&, WireOptions = {});
    ~TcpPeerLink() override;

    /// Listens and starts to connect to the peers.
    /// @param events receives messages from now until stop() has returned; it must not call stop().
    Result<Done> start(PeerEvents& events);

    /// Closes all connections. Queued messages are lost.
    void stop();

    /// Encodes and queues a message. A message to a daemon that is neither listed nor resolvable is dropped.
    void send(const DaemonId& to, PeerMessage) override;

    /// Encodes the message once for all receivers.
    void broadcast(const std::vector<DaemonId>& to, const PeerMessage&) override;

    /// @return the total size of the frames that are queued for all peers.
    Bytes queuedBytes() const { return budget_.used(); }

    /// @return the traffic with each peer so far.
    std::vector<PeerTraffic> traffic() const;

    /// @return the port on which the link listens.
    uint16_t port() const { return listener_.port(); }

private:
    using IncomingList = boost::intrusive::list<IncomingConnection>;

    void run();
    /// Services the connections that have frames to send, and all of them if any is due.
    void service(absl::Time now);
    void serviceAll(absl::Time now);
    std::optional<std::string> makeMessageFrame(const PeerMessage&) const;
    void enqueue(const DaemonId& to, std::string frame);
    /// Drops frames of the peers with the most queued bytes until the process is within its budget.
    void shedQueues();
    void wakeThread();
    void acceptPending(absl::Time now);
    /// Closes the connections that hold the most until all hold no more than the maximum together.
    void closeLargestReceivers();
    void removeClosed();
    void closeAll();

    void ready(Readiness, absl::Time now) override;
    Result<std::string> helloReceived(IncomingConnection&, std::string_view content) override;
    bool frameReceived(IncomingConnection&, std::string_view content) override;
    void connectionRefused(const IncomingConnection&, std::string_view reason) override;
    Result<Done> checkHello(const Hello&) const;
    void closeOlderConnections(const IncomingConnection& kept);
    /// @return the connection to a peer, created if the resolver finds its endpoint; null for an unknown daemon.
    OutgoingConnection* peerOf(const DaemonId&) const ABSL_LOCKS_EXCLUDED(peersMutex_);
    OutgoingConnection* addPeer(const PeerSettings&) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(peersMutex_);
    std::vector<OutgoingConnection*> allPeers() const ABSL_LOCKS_EXCLUDED(peersMutex_);

    const DaemonRun self_;
    const Endpoint endpoint_;
    const Clock& clock_;
    EventLog& log_;
    const WireOptions options_;
    const PeerResolver* const resolver_ = nullptr;
    Random& random_;
    mutable Poller poller_;
    mutable SendBudget budget_;
    mutable DueTime due_;
    mutable absl::Mutex peersMutex_;
    /// Peers are added when they are first needed and never removed, so pointers to them stay valid.
    mutable absl::flat_hash_map<DaemonId, std::unique_ptr<OutgoingConnection>> peers_ ABSL_GUARDED_BY(peersMutex_);
    absl::Mutex writersMutex_;
    /// Connections whose queues were empty when a frame was added.
    std::vector<OutgoingConnection*> writers_ ABSL_GUARDED_BY(writersMutex_);
    std::atomic<bool> isWakePending_ { false };
    PeerEvents* events_ = nullptr;
    Socket listener_;
    IncomingList incoming_;
    size_t unidentified_ = 0;
    std::atomic<bool> isStopping_ { false };
    std::thread thread_;
};

} // namespace trefoilwing
