#include "Fleet/HostileClients.h"

#include <absl/time/clock.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace trefoilwing {

namespace {

    constexpr absl::Duration pollInterval = absl::Milliseconds(5);
    /// The test gives up sending when the server takes nothing more for this long.
    constexpr absl::Duration maxStandstill = absl::Seconds(2);
    constexpr size_t pieceBytes = 65536;
    constexpr int receiveBuffer = 4096;

} // namespace

HostileClients::HostileClients(Endpoint server)
    : server_(std::move(server))
{
}

HostileClients::~HostileClients()
{
    for (const Sender& sender : senders_)
        ::close(sender.descriptor);
}

void HostileClients::connect(int count)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(server_.port);
    inet_pton(AF_INET, server_.address.c_str(), &address.sin_addr);
    for (int i = 0; i < count; ++i) {
        // The connection is established later if the server's queue is full, so connecting doesn't block.
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (descriptor < 0)
            return;
        // Little of an answer fits into the client's buffer, so that the server has to hold the rest.
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
        static_cast<void>(::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address));
        senders_.push_back({ descriptor, {}, 0, false });
        absl::SleepFor(absl::Milliseconds(1));
    }
}

bool HostileClients::sendPiece(Sender& sender, const std::string& repeated, size_t bytes)
{
    if (sender.isClosed || (sender.pending.empty() && sender.sent >= bytes))
        return false;
    while (!repeated.empty() && sender.pending.size() < std::min(pieceBytes, bytes - std::min(bytes, sender.sent)))
        sender.pending += repeated;
    const ssize_t count = ::send(sender.descriptor, sender.pending.data(), sender.pending.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count < 0) {
        sender.isClosed = errno != EAGAIN && errno != EWOULDBLOCK && errno != ENOTCONN;
        return false;
    }
    sender.sent += static_cast<size_t>(count);
    sender.pending.erase(0, static_cast<size_t>(count));
    return true;
}

void HostileClients::send(const std::string& text, const std::string& repeated, size_t bytes)
{
    for (Sender& sender : senders_) {
        sender.pending = text;
        sender.sent = 0;
    }
    absl::Time progressAt = absl::Now();
    while (absl::Now() < progressAt + maxStandstill) {
        bool isProgress = false;
        bool isDone = true;
        for (Sender& sender : senders_) {
            isProgress = sendPiece(sender, repeated, bytes) || isProgress;
            isDone = isDone && (sender.isClosed || (sender.pending.empty() && sender.sent >= bytes));
        }
        if (isDone)
            return;
        if (isProgress)
            progressAt = absl::Now();
        else
            absl::SleepFor(pollInterval);
    }
}

} // namespace trefoilwing
