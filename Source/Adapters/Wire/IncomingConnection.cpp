#include "Adapters/Wire/IncomingConnection.h"

#include <utility>

namespace trefoilwing {

namespace {

    constexpr uint64_t maxHelloBytes = 4096;

    /// Maximum number of bytes read from one connection before the others are served.
    constexpr size_t maxReadBytes = 64U << 10U;

} // namespace

IncomingConnection::IncomingConnection(
    Socket socket, const WireOptions& options, Poller& poller, IncomingEvents& events, absl::Time now)
    : socket_(std::move(socket))
    , options_(options)
    , events_(events)
    , reader_(Bytes(maxHelloBytes))
    , deadline_(now + options.handshakeTimeout)
{
    socket_.setPeerOptions(options_.sendTimeout);
    poller.add(socket_.descriptor(), *this, false);
}

void IncomingConnection::ready(Readiness, absl::Time now)
{
    if (isClosed())
        return;
    static thread_local std::string buffer(maxReadBytes, '\0');
    const std::optional<std::string_view> bytes = socket_.receive(buffer);
    if (!bytes) {
        close();
        return;
    }
    reader_.append(*bytes);
    processFrames();
    reader_.releaseUnused();
    // The frames just processed may include the hello, so this check comes after them.
    if (peer_)
        deadline_ = now + options_.receiveTimeout;
}

void IncomingConnection::service(absl::Time now)
{
    if (!isClosed() && now >= deadline_)
        close();
}

void IncomingConnection::processFrames()
{
    while (!isClosed()) {
        const std::optional<std::string_view> content = reader_.next();
        if (!content)
            break;
        if (!processFrame(*content))
            close();
    }
    if (!isClosed() && reader_.isBroken())
        refuse("a frame exceeds the maximum size");
}

bool IncomingConnection::processFrame(std::string_view content)
{
    if (!peer_)
        return processHello(content);
    return content.empty() || events_.frameReceived(*this, content);
}

bool IncomingConnection::processHello(std::string_view content)
{
    const Result<std::string> answer = events_.helloReceived(*this, content);
    if (const Error* error = errorOf(answer)) {
        refuse(error->message);
        return false;
    }
    reader_.setMaxFrame(options_.maxFrame);
    const std::string frame = makeFrame(*valueOf(answer));
    return socket_.send(frame) == frame.size();
}

void IncomingConnection::refuse(std::string_view reason)
{
    events_.connectionRefused(*this, reason);
    close();
}

} // namespace trefoilwing
