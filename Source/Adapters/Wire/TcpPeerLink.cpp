#include "Adapters/Wire/TcpPeerLink.h"

#include "Adapters/Msgpack/Codec.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace trefoilwing {

TcpPeerLink::TcpPeerLink(const DaemonSettings& settings, Incarnation incarnation, const Clock& clock, Random& random,
    EventLog& log, WireOptions options)
    : self_ { settings.daemon, incarnation }
    , endpoint_(settings.peerEndpoint)
    , clock_(clock)
    , log_(log)
    , options_(options)
    , random_(random)
    , budget_(options.maxQueuedForAll)
{
    MutexLock lock(peersMutex_);
    for (const PeerSettings& peer : settings.peers) {
        if (peer.daemon != self_.daemon)
            addPeer(peer);
    }
}

TcpPeerLink::TcpPeerLink(DaemonRun self, Endpoint endpoint, const PeerResolver& resolver, const Clock& clock, Random& random, EventLog& log, WireOptions options)
    : self_(std::move(self))
    , endpoint_(std::move(endpoint))
    , clock_(clock)
    , log_(log)
    , options_(options)
    , resolver_(&resolver)
    , random_(random)
    , budget_(options.maxQueuedForAll)
{
}

OutgoingConnection* TcpPeerLink::addPeer(const PeerSettings& peer) const
{
    auto& connection = peers_[peer.daemon];
    connection = std::make_unique<OutgoingConnection>(peer, self_, options_, budget_, poller_, due_, random_, log_);
    return connection.get();
}

OutgoingConnection* TcpPeerLink::peerOf(const DaemonId& daemon) const
{
    MutexLock lock(peersMutex_);
    const auto known = peers_.find(daemon);
    if (known != peers_.end())
        return known->second.get();
    if (!resolver_ || daemon == self_.daemon || peers_.size() >= options_.maxIdentified)
        return nullptr;
    const std::optional<Endpoint> endpoint = resolver_->resolve(daemon);
    if (!endpoint)
        return nullptr;
    PeerSettings settings;
    settings.daemon = daemon;
    settings.peerEndpoint = *endpoint;
    return addPeer(settings);
}

std::vector<OutgoingConnection*> TcpPeerLink::allPeers() const
{
    MutexLock lock(peersMutex_);
    std::vector<OutgoingConnection*> peers;
    for (const auto& [daemon, connection] : peers_)
        peers.push_back(connection.get());
    return peers;
}

TcpPeerLink::~TcpPeerLink()
{
    stop();
}

Result<Done> TcpPeerLink::start(PeerEvents& events)
{
    Result<Socket> listener = Socket::listenAt(endpoint_);
    if (const Error* error = errorOf(listener))
        return *error;
    listener_ = std::move(std::get<Socket>(listener));
    events_ = &events;
    isStopping_ = false;
    poller_.addListener(listener_.descriptor(), *this);
    thread_ = std::thread([this] { run(); });
    return Done {};
}

void TcpPeerLink::stop()
{
    if (!thread_.joinable())
        return;
    isStopping_ = true;
    wakeThread();
    thread_.join();
}

void TcpPeerLink::send(const DaemonId& to, PeerMessage message)
{
    if (std::optional<std::string> frame = makeMessageFrame(message))
        enqueue(to, *std::move(frame));
}

void TcpPeerLink::broadcast(const std::vector<DaemonId>& to, const PeerMessage& message)
{
    const std::optional<std::string> frame = makeMessageFrame(message);
    if (!frame)
        return;
    for (const DaemonId& daemon : to)
        enqueue(daemon, *frame);
}

std::optional<std::string> TcpPeerLink::makeMessageFrame(const PeerMessage& message) const
{
    const std::string content = encode(message);
    if (content.size() <= options_.maxFrame.value())
        return makeFrame(content);
    log_.write(Severity::Error, "peer_message_too_long", { { "alternative", uint64_t { message.index() } }, { "bytes", uint64_t { content.size() } } });
    return std::nullopt;
}

void TcpPeerLink::enqueue(const DaemonId& to, std::string frame)
{
    OutgoingConnection* peer = peerOf(to);
    if (!peer)
        return;
    const bool wasEmpty = peer->enqueue(std::move(frame), clock_.now());
    if (budget_.isExceeded())
        shedQueues();
    if (!wasEmpty)
        return;
    {
        MutexLock lock(writersMutex_);
        writers_.push_back(peer);
    }
    wakeThread();
}

void TcpPeerLink::shedQueues()
{
    // The sizes are read once, since other threads change them while they are compared.
    std::vector<std::pair<uint64_t, OutgoingConnection*>> peers;
    for (OutgoingConnection* peer : allPeers())
        peers.emplace_back(peer->queuedBytes().value(), peer);
    std::sort(peers.begin(), peers.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    for (const auto& [bytes, peer] : peers) {
        if (!budget_.isExceeded())
            return;
        peer->dropUntilWithinBudget();
    }
}

void TcpPeerLink::wakeThread()
{
    if (!isWakePending_.exchange(true))
        poller_.wake();
}

std::vector<PeerTraffic> TcpPeerLink::traffic() const
{
    std::vector<PeerTraffic> traffic;
    for (const OutgoingConnection* connection : allPeers())
        traffic.push_back(connection->traffic());
    return traffic;
}

void TcpPeerLink::run()
{
    while (!isStopping_) {
        const absl::Time now = clock_.now();
        service(now);
        poller_.wait(due_.time() - now, [this] { return clock_.now(); });
        closeLargestReceivers();
        removeClosed();
    }
    closeAll();
}

void TcpPeerLink::service(absl::Time now)
{
    // Cleared before the list is taken, so that a frame that is added later wakes the thread again.
    isWakePending_ = false;
    std::vector<OutgoingConnection*> writers;
    {
        MutexLock lock(writersMutex_);
        writers.swap(writers_);
    }
    for (OutgoingConnection* connection : writers)
        connection->service(now);
    if (now >= due_.time())
        serviceAll(now);
}

void TcpPeerLink::serviceAll(absl::Time now)
{
    due_.reset();
    for (OutgoingConnection* connection : allPeers()) {
        connection->service(now);
        due_.include(connection->nextWakeup());
    }
    for (IncomingConnection& connection : incoming_) {
        connection.service(now);
        due_.include(connection.nextWakeup());
    }
}

void TcpPeerLink::closeLargestReceivers()
{
    uint64_t held = 0;
    for (const IncomingConnection& connection : incoming_)
        held += connection.isClosed() ? 0 : connection.heldBytes();
    while (held > options_.maxReceiving.value()) {
        IncomingConnection* largest = nullptr;
        for (IncomingConnection& connection : incoming_) {
            if (!connection.isClosed() && (!largest || connection.heldBytes() > largest->heldBytes()))
                largest = &connection;
        }
        connectionRefused(*largest, "all connections together hold too many bytes of incomplete messages");
        held -= largest->heldBytes();
        largest->close();
    }
}

void TcpPeerLink::removeClosed()
{
    // Closed connections are kept until here, since events of the same wait may still refer to them.
    bool isRemoved = false;
    incoming_.remove_and_dispose_if([](const IncomingConnection& connection) { return connection.isClosed(); },
        [&](IncomingConnection* connection) {
            isRemoved = true;
            unidentified_ -= connection->peer() ? 0 : 1;
            delete connection;
        });
    // The listener may have run out of descriptors before, and isn't reported as ready again for the same connections.
    if (isRemoved && listener_.isOpen())
        acceptPending(clock_.now());
}

void TcpPeerLink::closeAll()
{
    listener_.close();
    for (OutgoingConnection* connection : allPeers())
        connection->close();
    for (IncomingConnection& connection : incoming_)
        connection.close();
    removeClosed();
}

void TcpPeerLink::ready(Readiness, absl::Time now)
{
    acceptPending(now);
}

void TcpPeerLink::acceptPending(absl::Time now)
{
    while (std::optional<Socket> socket = listener_.accept()) {
        // Connections beyond the limit are closed at once, so that unknown peers can't exhaust the memory.
        if (unidentified_ >= options_.maxUnidentified)
            continue;
        ++unidentified_;
        incoming_.push_back(*new IncomingConnection(std::move(*socket), options_, poller_, *this, now));
        due_.include(incoming_.back().nextWakeup());
    }
}

Result<std::string> TcpPeerLink::helloReceived(IncomingConnection& connection, std::string_view content)
{
    const Result<Hello> decoded = decode<Hello>(content);
    if (const Error* error = errorOf(decoded))
        return *error;
    const Hello& hello = *valueOf(decoded);
    const Result<Done> checked = checkHello(hello);
    if (const Error* error = errorOf(checked))
        return *error;
    connection.setPeer(hello.sender);
    --unidentified_;
    closeOlderConnections(connection);
    return encode(Hello { protocolVersion, self_, hello.sender.daemon });
}

Result<Done> TcpPeerLink::checkHello(const Hello& hello) const
{
    const std::string& sender = hello.sender.daemon.value();
    if (hello.receiver != self_.daemon)
        return Error { ErrorCode::Conflict, absl::StrCat(sender, " tried to connect to daemon ", hello.receiver.value()) };
    if (hello.version < oldestProtocolVersion)
        return Error { ErrorCode::Conflict, absl::StrCat(sender, " uses the unsupported protocol version ", hello.version) };
    if (!peerOf(hello.sender.daemon))
        return Error { ErrorCode::Conflict, absl::StrCat(sender, " is not a known peer") };
    size_t others = 0;
    for (const IncomingConnection& other : incoming_) {
        if (other.isClosed() || !other.peer())
            continue;
        if (other.peer()->daemon != hello.sender.daemon)
            ++others;
        else if (other.peer()->incarnation > hello.sender.incarnation)
            return Error { ErrorCode::Conflict, absl::StrCat(sender, " is already connected by a later run") };
    }
    if (others >= options_.maxIdentified)
        return Error { ErrorCode::Conflict, absl::StrCat(sender, " is one more than the maximum number of connected daemons") };
    return Done {};
}

void TcpPeerLink::closeOlderConnections(const IncomingConnection& kept)
{
    // The peer opened a new connection, so it has dropped the old one, even if this side hasn't detected that yet.
    for (IncomingConnection& other : incoming_) {
        if (&other != &kept && other.peer() && other.peer()->daemon == kept.peer()->daemon)
            other.close();
    }
}

bool TcpPeerLink::frameReceived(IncomingConnection& connection, std::string_view content)
{
    const DaemonId& from = connection.peer()->daemon;
    PeerCounters& counters = peerOf(from)->counters();
    counters.receivedBytes += content.size() + frameHeaderSize;
    Decoder decoder(content);
    Result<PeerMessage> message = decoder.take<PeerMessage>();
    if (PeerMessage* value = std::get_if<PeerMessage>(&message)) {
        ++counters.receivedMessages;
        events_->messageReceived(from, std::move(*value));
        return true;
    }
    if (decoder.alternativeNumber().value_or(0) >= std::variant_size_v<PeerMessage>) {
        // The peer runs a newer version, as happens during an upgrade.
        ++counters.unknownMessages;
        return true;
    }
    ++counters.malformedFrames;
    connectionRefused(connection, errorOf(message)->message);
    return false;
}

void TcpPeerLink::connectionRefused(const IncomingConnection& connection, std::string_view reason)
{
    const std::string peer = connection.peer() ? connection.peer()->daemon.value() : std::string("unknown");
    log_.write(Severity::Warning, "peer_connection_refused", { { "peer", peer }, { "reason", std::string(reason) } });
}

} // namespace trefoilwing
