#include "Http.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <cstring>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

    constexpr int backlog = 128;
    constexpr Milliseconds pollInterval { 50 };

    sockaddr_in socketAddress(const Endpoint& endpoint)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(endpoint.port));
        inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
        return address;
    }

    /// @return whether the socket is ready for the events before the deadline.
    bool awaitEvents(int socket, short events, Clock::time_point deadline)
    {
        while (Clock::now() < deadline) {
            pollfd item { socket, events, 0 };
            const auto left = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()).count() + 1;
            const int count = ::poll(&item, 1, static_cast<int>(left));
            if (count > 0)
                return true;
            if (count < 0 && errno != EINTR)
                return false;
        }
        return false;
    }

    int connectTo(const Endpoint& endpoint, Clock::time_point deadline)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const sockaddr_in address = socketAddress(endpoint);
        const int started = ::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        int error = 0;
        socklen_t length = sizeof error;
        const bool isConnected = started == 0
            || (errno == EINPROGRESS && awaitEvents(socket, POLLOUT, deadline) && getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &length) == 0 && error == 0);
        if (!isConnected) {
            ::close(socket);
            return -1;
        }
        const int isOn = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof isOn);
        return socket;
    }

    bool sendAll(int socket, const std::string& bytes, Clock::time_point deadline)
    {
        size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count > 0)
                sent += static_cast<size_t>(count);
            else if (errno != EAGAIN || !awaitEvents(socket, POLLOUT, deadline))
                return false;
        }
        return true;
    }

    /// Appends the bytes that have arrived.
    /// @return false if the peer has closed the connection or the deadline has passed.
    bool receiveMore(int socket, std::string& bytes, Clock::time_point deadline)
    {
        if (!awaitEvents(socket, POLLIN, deadline))
            return false;
        std::array<char, 16384> buffer {};
        const ssize_t count = ::recv(socket, buffer.data(), buffer.size(), 0);
        if (count < 0)
            return errno == EAGAIN || errno == EINTR;
        bytes.append(buffer.data(), static_cast<size_t>(count));
        return count > 0;
    }

    size_t contentLength(std::string head)
    {
        std::transform(head.begin(), head.end(), head.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        const std::string name = "\r\ncontent-length:";
        const size_t at = head.find(name);
        return at == std::string::npos ? 0 : std::strtoul(head.c_str() + at + name.size(), nullptr, 10);
    }

    /// Receives one message and removes it from the bytes.
    /// @return the head and the body, or nothing if the connection ends before.
    std::optional<std::pair<std::string, std::string>> receiveMessage(int socket, std::string& bytes, Clock::time_point deadline)
    {
        const std::string separator = "\r\n\r\n";
        size_t end = 0;
        while ((end = bytes.find(separator)) == std::string::npos) {
            if (!receiveMore(socket, bytes, deadline))
                return std::nullopt;
        }
        std::string head = bytes.substr(0, end);
        const size_t length = end + separator.size() + contentLength(head);
        while (bytes.size() < length) {
            if (!receiveMore(socket, bytes, deadline))
                return std::nullopt;
        }
        std::string body = bytes.substr(end + separator.size(), length - end - separator.size());
        bytes.erase(0, length);
        return std::pair { std::move(head), std::move(body) };
    }

    std::string encode(const Request& request)
    {
        std::string text = request.method + " " + request.path + " HTTP/1.1\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(request.body.size()) + "\r\n";
        for (const auto& [name, value] : request.headers)
            text.append(name).append(": ").append(value).append("\r\n");
        return text + "\r\n" + request.body;
    }

} // namespace

std::optional<Response> call(const Endpoint& endpoint, const Request& request, Milliseconds timeout)
{
    const Clock::time_point deadline = Clock::now() + timeout;
    const int socket = connectTo(endpoint, deadline);
    if (socket < 0)
        return std::nullopt;
    std::optional<Response> response;
    std::string bytes;
    if (sendAll(socket, encode(request), deadline)) {
        if (auto message = receiveMessage(socket, bytes, deadline)) {
            const size_t space = message->first.find(' ');
            response = Response { std::atoi(message->first.c_str() + space + 1), std::move(message->second) };
        }
    }
    ::close(socket);
    return response;
}

bool sendOnly(const Endpoint& endpoint, const Request& request)
{
    const Clock::time_point deadline = Clock::now() + Milliseconds(1000);
    const int socket = connectTo(endpoint, deadline);
    if (socket < 0)
        return false;
    const bool isSent = sendAll(socket, encode(request), deadline);
    ::close(socket);
    return isSent;
}

Server::Server(const Endpoint& endpoint, Handler handler)
    : handler_(std::move(handler))
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int isOn = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &isOn, sizeof isOn);
    const sockaddr_in address = socketAddress(endpoint);
    if (::bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || ::listen(listener, backlog) != 0) {
        ::close(listener);
        return;
    }
    listener_ = listener;
    thread_ = std::thread([this] { accept(); });
}

Server::~Server()
{
    close();
}

void Server::close()
{
    isClosing_ = true;
    if (thread_.joinable())
        thread_.join();
    std::list<std::pair<int, std::thread>> connections;
    {
        const std::lock_guard lock(mutex_);
        connections.swap(connections_);
    }
    for (auto& [connection, thread] : connections)
        ::shutdown(connection, SHUT_RDWR);
    for (auto& [connection, thread] : connections) {
        thread.join();
        ::close(connection);
    }
}

void Server::accept()
{
    while (!isClosing_) {
        if (!awaitEvents(listener_, POLLIN, Clock::now() + pollInterval))
            continue;
        const int connection = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (connection < 0)
            continue;
        const int isOn = 1;
        setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof isOn);
        const std::lock_guard lock(mutex_);
        connections_.emplace_back(connection, std::thread([this, connection] { serve(connection); }));
    }
    ::close(listener_);
    listener_ = -1;
}

void Server::serve(int connection)
{
    std::string bytes;
    while (!isClosing_) {
        // Idle connections stay open until the peer or this server closes them.
        const auto message = receiveMessage(connection, bytes, Clock::now() + std::chrono::hours(1));
        if (!message)
            break;
        Request request;
        const std::string& head = message->first;
        const size_t methodEnd = head.find(' ');
        request.method = head.substr(0, methodEnd);
        request.path = head.substr(methodEnd + 1, head.find(' ', methodEnd + 1) - methodEnd - 1);
        request.body = message->second;
        const Response response = handler_(request);
        const std::string text = "HTTP/1.1 " + std::to_string(response.status) + " Status\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
        if (!sendAll(connection, text, Clock::now() + Milliseconds(1000)))
            break;
    }
    ::shutdown(connection, SHUT_RDWR);
}

} // namespace review
