#include "Adapters/Http/PolledStream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace trefoilwing {

namespace {

    using AddressQuery = int (*)(int, sockaddr*, socklen_t*);

    void readAddress(socket_t socket, AddressQuery query, std::string& ip, int& port)
    {
        sockaddr_in address {};
        socklen_t length = sizeof(address);
        std::array<char, INET_ADDRSTRLEN> text {};
        if (query(socket, reinterpret_cast<sockaddr*>(&address), &length) != 0 || address.sin_family != AF_INET)
            return;
        if (!inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size()))
            return;
        ip = text.data();
        port = ntohs(address.sin_port);
    }

} // namespace

PolledStream::PolledStream(socket_t socket, absl::Duration timeout)
    : socket_(socket)
    , timeout_(timeout)
    , buffer_ {}
{
}

bool PolledStream::waitForRequest(absl::Duration limit)
{
    return isBuffered() || wait(POLLIN, limit);
}

bool PolledStream::is_readable() const
{
    return isBuffered() || wait(POLLIN, timeout_);
}

bool PolledStream::is_writable() const
{
    return wait(POLLOUT, timeout_);
}

ssize_t PolledStream::read(char* target, size_t size)
{
    if (!isBuffered()) {
        if (!wait(POLLIN, timeout_))
            return -1;
        const ssize_t received = recv(socket_, buffer_.data(), buffer_.size(), 0);
        if (received <= 0)
            return received;
        begin_ = 0;
        end_ = static_cast<size_t>(received);
    }
    const size_t taken = std::min(size, end_ - begin_);
    std::copy_n(buffer_.data() + begin_, taken, target);
    begin_ += taken;
    return static_cast<ssize_t>(taken);
}

ssize_t PolledStream::write(const char* source, size_t size)
{
    if (!wait(POLLOUT, timeout_))
        return -1;
    return send(socket_, source, size, MSG_NOSIGNAL);
}

void PolledStream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    readAddress(socket_, getpeername, ip, port);
}

void PolledStream::get_local_ip_and_port(std::string& ip, int& port) const
{
    readAddress(socket_, getsockname, ip, port);
}

bool PolledStream::wait(short events, absl::Duration limit) const
{
    pollfd watched { socket_, events, 0 };
    int ready = 0;
    do {
        ready = poll(&watched, 1, static_cast<int>(absl::ToInt64Milliseconds(limit)));
    } while (ready < 0 && errno == EINTR);
    return ready > 0;
}

} // namespace trefoilwing
