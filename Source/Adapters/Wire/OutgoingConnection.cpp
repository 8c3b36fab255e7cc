#include "Adapters/Wire/OutgoingConnection.h"

#include "Adapters/Msgpack/Codec.h"

#include <utility>

namespace trefoilwing {

namespace {

    /// Maximum number of bytes of frames that are joined for one system call; a single frame may be larger.
    constexpr size_t maxBatchBytes = 64U << 10U;

    /// A hello is far smaller, and the peer sends nothing else on this connection.
    constexpr uint64_t maxHelloBytes = 4096;

} // namespace

OutgoingConnection::OutgoingConnection(
    const PeerSettings& peer, const DaemonRun& self, const WireOptions& options, SendBudget& budget, Poller& poller, DueTime& due, Random& random, EventLog& log)
    : peer_(peer)
    , self_(self)
    , options_(options)
    , poller_(poller)
    , due_(due)
    , log_(log)
    , queue_(options.maxQueued, budget)
    , backoff_(options.firstBackoff, options.maxBackoff, random)
    , reader_(Bytes(maxHelloBytes))
{
}

bool OutgoingConnection::enqueue(std::string frame, absl::Time now)
{
    return queue_.push(std::move(frame), now, now - options_.maxQueueAge);
}

void OutgoingConnection::service(absl::Time now)
{
    if (state_ == State::Ready && !wantsWrite_)
        flush(now);
    if (state_ != State::Ready)
        queue_.dropBefore(now - options_.maxQueueAge);
    if (now < deadline_)
        return;
    switch (state_) {
    case State::Waiting:
        connect(now);
        break;
    case State::Connecting:
        fail("connecting timed out", now);
        break;
    case State::AwaitingHello:
        fail("timed out waiting for the hello", now);
        break;
    case State::Ready:
        if (batch_.empty())
            batch_ = makeFrame("");
        flush(now);
        setDeadline(now + options_.pingInterval);
        break;
    }
}

absl::Time OutgoingConnection::nextWakeup() const
{
    return deadline_;
}

void OutgoingConnection::ready(Readiness readiness, absl::Time now)
{
    switch (state_) {
    case State::Waiting:
        break;
    case State::Connecting:
        if (readiness.canWrite || readiness.hasFailed)
            connected(now);
        break;
    case State::AwaitingHello:
        if (readiness.canRead || readiness.hasFailed)
            readHello(now);
        break;
    case State::Ready:
        if (readiness.canRead || readiness.hasFailed)
            readUnexpected(now);
        if (state_ == State::Ready && readiness.canWrite)
            flush(now);
        break;
    }
}

void OutgoingConnection::close()
{
    socket_.close();
    state_ = State::Waiting;
    counters_.isConnected = false;
}

PeerTraffic OutgoingConnection::traffic() const
{
    return { peer_.daemon, counters_.isConnected, counters_.connects, queue_.taken(), counters_.sentBytes, queue_.dropped(),
        counters_.receivedMessages, counters_.receivedBytes, counters_.unknownMessages, counters_.malformedFrames };
}

void OutgoingConnection::connect(absl::Time now)
{
    Result<Socket> socket = Socket::connectTo(peer_.peerEndpoint);
    if (const Error* error = errorOf(socket)) {
        fail(error->message, now);
        return;
    }
    socket_ = std::move(std::get<Socket>(socket));
    socket_.setPeerOptions(options_.sendTimeout);
    poller_.add(socket_.descriptor(), *this, true);
    wantsWrite_ = true;
    state_ = State::Connecting;
    setDeadline(now + options_.handshakeTimeout);
}

void OutgoingConnection::connected(absl::Time now)
{
    const std::string error = socket_.connectError();
    if (!error.empty()) {
        fail(error, now);
        return;
    }
    const std::string hello = makeFrame(encode(Hello { protocolVersion, self_, peer_.daemon }));
    if (socket_.send(hello) != hello.size()) {
        fail("the hello could not be sent", now);
        return;
    }
    reader_ = FrameReader(Bytes(maxHelloBytes));
    watchForWriting(false);
    state_ = State::AwaitingHello;
}

void OutgoingConnection::readHello(absl::Time now)
{
    std::string buffer(maxHelloBytes, '\0');
    const std::optional<std::string_view> bytes = socket_.receive(buffer);
    if (!bytes) {
        fail("the peer closed the connection before its hello", now);
        return;
    }
    reader_.append(*bytes);
    if (const std::optional<std::string_view> content = reader_.next())
        handleHello(*content, now);
    else if (reader_.isBroken())
        fail("the hello exceeds the maximum size", now);
}

void OutgoingConnection::handleHello(std::string_view content, absl::Time now)
{
    const Result<Hello> decoded = decode<Hello>(content);
    const Hello* hello = valueOf(decoded);
    if (!hello || hello->sender.daemon != peer_.daemon || hello->version < oldestProtocolVersion) {
        fail("the hello comes from another daemon or has an unsupported protocol version", now);
        return;
    }
    state_ = State::Ready;
    setDeadline(now + options_.pingInterval);
    backoff_.reset();
    hasLoggedFailure_ = false;
    ++counters_.connects;
    counters_.isConnected = true;
    log_.write(Severity::Info, "peer_connected",
        { { "peer", peer_.daemon.value() }, { "incarnation", hello->sender.incarnation.value() }, { "version", uint64_t { hello->version } } });
    flush(now);
}

void OutgoingConnection::readUnexpected(absl::Time now)
{
    std::string buffer(maxHelloBytes, '\0');
    const std::optional<std::string_view> bytes = socket_.receive(buffer);
    if (!bytes)
        fail("the peer closed the connection", now);
    else if (!bytes->empty())
        fail("the peer sent data on a connection that only receives", now);
}

void OutgoingConnection::flush(absl::Time now)
{
    while (fillBatch(now)) {
        const std::optional<size_t> sent = socket_.send(std::string_view(batch_).substr(batchSent_));
        if (!sent) {
            fail("sending failed", now);
            return;
        }
        batchSent_ += *sent;
        counters_.sentBytes += *sent;
        if (*sent > 0)
            setDeadline(now + options_.pingInterval);
        if (batchSent_ < batch_.size()) {
            watchForWriting(true);
            return;
        }
    }
    watchForWriting(false);
}

bool OutgoingConnection::fillBatch(absl::Time now)
{
    if (batchSent_ == batch_.size()) {
        batch_ = queue_.take(maxBatchBytes, now - options_.maxQueueAge);
        batchSent_ = 0;
    }
    return !batch_.empty();
}

void OutgoingConnection::setDeadline(absl::Time deadline)
{
    deadline_ = deadline;
    due_.include(deadline);
}

void OutgoingConnection::watchForWriting(bool wantsWrite)
{
    if (wantsWrite == wantsWrite_)
        return;
    poller_.setWantsWrite(socket_.descriptor(), *this, wantsWrite);
    wantsWrite_ = wantsWrite;
}

void OutgoingConnection::fail(std::string_view reason, absl::Time now)
{
    if (!hasLoggedFailure_)
        log_.write(Severity::Warning, "peer_disconnected", { { "peer", peer_.daemon.value() }, { "reason", std::string(reason) } });
    hasLoggedFailure_ = true;
    close();
    // A partly sent frame is lost: the peer couldn't parse its rest on a new connection.
    batch_.clear();
    batchSent_ = 0;
    setDeadline(now + backoff_.next());
}

} // namespace trefoilwing
