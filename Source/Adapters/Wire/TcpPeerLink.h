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

/// Where daemons listen that the settings don't list.
class PeerResolver {
public:
    virtual ~PeerResolver() = default;

    /// @return where the daemon listens for its peers, or nothing where its name doesn't tell.
    virtual std::optional<Endpoint> resolve(const DaemonId&) const = 0;
};

/// Sends to the other daemons over TCP and takes what they send.
///
/// One thread serves all connections. A message is encoded by the thread that sends it, and decoded
/// by the link's thread. Each daemon sends on connections that it made itself.
class TcpPeerLink : public PeerLink, private IncomingEvents, private PollHandler {
public:
    /// @param clock never steps; see SteadyClock.
    /// @param random is used by the link's thread only.
    TcpPeerLink(const DaemonSettings&, Incarnation, const Clock&, Random&, EventLog&, WireOptions = {});
    /// Knows no daemon beforehand: whoever the resolver can place is a peer.
    /// @param endpoint where this daemon listens; @param resolver must outlive the link.
    TcpPeerLink(DaemonRun self, Endpoint endpoint, const PeerResolver& resolver, const Clock&, Random&, EventLog&, WireOptions = {});
    ~TcpPeerLink() override;

    /// Listens and begins to connect to the peers.
    /// @param events takes messages from now until stop() has returned; it must not call stop().
    Result<Done> start(PeerEvents& events);

    /// Ends all connections. What waits to be sent is lost.
    void stop();

    /// Encodes and queues a message. One to a daemon that is neither listed nor can be placed is dropped.
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
    /// @return the connection to a peer, made where the resolver can place it; null for a stranger.
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
    mutable absl::Mutex peersMutex_;
    /// Peers are added as they are met and never removed, so that pointers to them stay good.
    mutable absl::flat_hash_map<DaemonId, std::unique_ptr<OutgoingConnection>> peers_ ABSL_GUARDED_BY(peersMutex_);
    PeerEvents* events_ = nullptr;
    Socket listener_;
    IncomingList incoming_;
    size_t strangers_ = 0;
    std::atomic<bool> isStopping_ { false };
    std::thread thread_;
};

} // namespace trefoilwing
