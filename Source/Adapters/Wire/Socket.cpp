#include "Adapters/Wire/Socket.h"

#include <absl/strings/str_cat.h>

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace trefoilwing {

namespace {

    constexpr int listenBacklog = 128;

    struct SocketAddress {
        sockaddr_storage storage {};
        socklen_t size = 0;

        sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
    };

    Error socketError(std::string_view what, const Endpoint& endpoint)
    {
        const std::string reason = std::generic_category().message(errno);
        return { ErrorCode::Unavailable,
            absl::StrCat("cannot ", std::string(what), " ", endpoint.address, " port ", endpoint.port, ": ", reason),
            Verdict::NotRun };
    }

    std::optional<SocketAddress> parseAddress(const Endpoint& endpoint)
    {
        SocketAddress address;
        auto* v4 = reinterpret_cast<sockaddr_in*>(&address.storage);
        if (inet_pton(AF_INET, endpoint.address.c_str(), &v4->sin_addr) == 1) {
            v4->sin_family = AF_INET;
            v4->sin_port = htons(endpoint.port);
            address.size = sizeof(sockaddr_in);
            return address;
        }
        auto* v6 = reinterpret_cast<sockaddr_in6*>(&address.storage);
        if (inet_pton(AF_INET6, endpoint.address.c_str(), &v6->sin6_addr) == 1) {
            v6->sin6_family = AF_INET6;
            v6->sin6_port = htons(endpoint.port);
            address.size = sizeof(sockaddr_in6);
            return address;
        }
        errno = EINVAL;
        return std::nullopt;
    }

    Socket openSocket(const SocketAddress& address)
    {
        return Socket(::socket(address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    }

    void setOption(int descriptor, int level, int option, int value)
    {
        ::setsockopt(descriptor, level, option, &value, sizeof(value));
    }

    bool wouldBlock()
    {
        return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    }

} // namespace

Socket& Socket::operator=(Socket&& other) noexcept
{
    if (this != &other) {
        close();
        descriptor_ = other.release();
    }
    return *this;
}

Result<Socket> Socket::listenAt(const Endpoint& endpoint)
{
    std::optional<SocketAddress> address = parseAddress(endpoint);
    if (!address)
        return socketError("listen at", endpoint);
    Socket socket = openSocket(*address);
    setOption(socket.descriptor_, SOL_SOCKET, SO_REUSEADDR, 1);
    if (!socket.isOpen() || ::bind(socket.descriptor_, address->get(), address->size) != 0
        || ::listen(socket.descriptor_, listenBacklog) != 0)
        return socketError("listen at", endpoint);
    return socket;
}

Result<Socket> Socket::connectTo(const Endpoint& endpoint)
{
    std::optional<SocketAddress> address = parseAddress(endpoint);
    if (!address)
        return socketError("connect to", endpoint);
    Socket socket = openSocket(*address);
    if (!socket.isOpen())
        return socketError("connect to", endpoint);
    if (::connect(socket.descriptor_, address->get(), address->size) != 0 && errno != EINPROGRESS)
        return socketError("connect to", endpoint);
    return socket;
}

std::optional<Socket> Socket::accept()
{
    const int descriptor = ::accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0)
        return std::nullopt;
    return Socket(descriptor);
}

void Socket::setPeerOptions(absl::Duration sendTimeout)
{
    setOption(descriptor_, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor_, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(absl::ToInt64Milliseconds(sendTimeout)));
}

std::string Socket::connectError() const
{
    int error = 0;
    socklen_t size = sizeof(error);
    if (::getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &size) != 0)
        error = errno;
    return error == 0 ? std::string() : std::generic_category().message(error);
}

std::optional<size_t> Socket::send(std::string_view bytes)
{
    const ssize_t sent = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent >= 0)
        return static_cast<size_t>(sent);
    return wouldBlock() ? std::optional<size_t>(0) : std::nullopt;
}

std::optional<std::string_view> Socket::receive(std::string& buffer)
{
    const ssize_t received = ::recv(descriptor_, buffer.data(), buffer.size(), 0);
    if (received > 0)
        return std::string_view(buffer.data(), static_cast<size_t>(received));
    if (received < 0 && wouldBlock())
        return std::string_view();
    return std::nullopt;
}

void Socket::close()
{
    const int descriptor = release();
    if (descriptor >= 0)
        ::close(descriptor);
}

uint16_t Socket::port() const
{
    SocketAddress address;
    address.size = sizeof(address.storage);
    if (::getsockname(descriptor_, address.get(), &address.size) != 0)
        return 0;
    if (address.storage.ss_family == AF_INET6)
        return ntohs(reinterpret_cast<sockaddr_in6*>(&address.storage)->sin6_port);
    return ntohs(reinterpret_cast<sockaddr_in*>(&address.storage)->sin_port);
}

int Socket::release()
{
    return std::exchange(descriptor_, -1);
}

} // namespace trefoilwing
