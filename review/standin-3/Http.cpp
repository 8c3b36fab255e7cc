#include "Http.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <optional>
#include <sstream>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

    constexpr int pollMs = 20;
    constexpr int backlog = 64;
    constexpr size_t readBytes = 16384;

    sockaddr_in socketAddress(const Address& address)
    {
        sockaddr_in result {};
        result.sin_family = AF_INET;
        result.sin_port = htons(static_cast<uint16_t>(address.port));
        inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
        return result;
    }

    bool sendAll(int socket, const std::string& text)
    {
        size_t sent = 0;
        while (sent < text.size()) {
            const ssize_t count = ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<size_t>(count);
        }
        return true;
    }

    void setNoDelay(int socket)
    {
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    std::string lower(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return text;
    }

    struct Message {
        std::string firstLine;
        std::map<std::string, std::string> headers;
        std::string body;
    };

    /// Takes a whole message off the front of the buffer, if it holds one.
    std::optional<Message> takeMessage(std::string& buffer)
    {
        const size_t end = buffer.find("\r\n\r\n");
        if (end == std::string::npos)
            return std::nullopt;
        Message message;
        size_t begin = buffer.find("\r\n");
        message.firstLine = buffer.substr(0, begin);
        while (begin < end) {
            const size_t next = buffer.find("\r\n", begin + 2);
            const std::string line = buffer.substr(begin + 2, next - begin - 2);
            const size_t colon = line.find(':');
            if (colon != std::string::npos)
                message.headers[lower(line.substr(0, colon))] = line.substr(std::min(line.size(), line.find_first_not_of(' ', colon + 1)));
            begin = next;
        }
        const auto length = message.headers.find("content-length");
        const size_t bodyBytes = length == message.headers.end() ? 0 : std::strtoul(length->second.c_str(), nullptr, 10);
        if (buffer.size() < end + 4 + bodyBytes)
            return std::nullopt;
        message.body = buffer.substr(end + 4, bodyBytes);
        buffer.erase(0, end + 4 + bodyBytes);
        return message;
    }

    enum class ReadResult {
        Data,
        Nothing,
        Closed,
    };

    ReadResult readSome(int socket, std::string& buffer)
    {
        pollfd waiting { socket, POLLIN, 0 };
        if (::poll(&waiting, 1, pollMs) <= 0)
            return ReadResult::Nothing;
        std::array<char, readBytes> bytes {};
        const ssize_t count = ::recv(socket, bytes.data(), bytes.size(), 0);
        if (count <= 0)
            return ReadResult::Closed;
        buffer.append(bytes.data(), static_cast<size_t>(count));
        return ReadResult::Data;
    }

    std::string encode(const Response& response)
    {
        std::ostringstream text;
        text << "HTTP/1.1 " << response.status << " X\r\nContent-Type: application/json\r\nContent-Length: " << response.body.size() << "\r\n\r\n"
             << response.body;
        return text.str();
    }

    std::string encode(const Request& request, const std::string& host)
    {
        std::ostringstream text;
        text << request.method << " " << request.target << " HTTP/1.1\r\nContent-Type: application/json\r\nContent-Length: " << request.body.size() << "\r\n";
        for (const auto& [name, value] : request.headers)
            text << name << ": " << value << "\r\n";
        if (!request.headers.contains("host"))
            text << "host: " << host << "\r\n";
        text << "\r\n"
             << request.body;
        return text.str();
    }

    bool connectBy(int socket, const Address& to, Clock::time_point deadline)
    {
        const sockaddr_in address = socketAddress(to);
        // A loopback connection is made or refused at once, unless the listener's queue is full.
        while (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
            if (Clock::now() >= deadline || errno != EAGAIN)
                return false;
            std::this_thread::sleep_for(Millis(pollMs));
        }
        return true;
    }

} // namespace

HttpServer::HttpServer(const Address& address, Handler handler)
    : handler_(std::move(handler))
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in local = socketAddress(address);
    if (::bind(socket, reinterpret_cast<const sockaddr*>(&local), sizeof local) != 0 || ::listen(socket, backlog) != 0) {
        ::close(socket);
        return;
    }
    listener_ = socket;
    thread_ = std::thread([this] { accept(); });
}

HttpServer::~HttpServer()
{
    stop();
}

void HttpServer::stop()
{
    if (isStopping_.exchange(true))
        return;
    if (thread_.joinable())
        thread_.join();
    for (std::thread& connection : connections_)
        connection.join();
    if (listener_ >= 0)
        ::close(listener_);
}

void HttpServer::accept()
{
    while (!isStopping_) {
        pollfd waiting { listener_, POLLIN, 0 };
        if (::poll(&waiting, 1, pollMs) <= 0)
            continue;
        const int connection = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0)
            continue;
        setNoDelay(connection);
        connections_.emplace_back([this, connection] { serve(connection); });
    }
}

void HttpServer::serve(int connection)
{
    std::string buffer;
    bool isOpen = true;
    while (isOpen && !isStopping_) {
        const ReadResult result = readSome(connection, buffer);
        isOpen = result != ReadResult::Closed;
        std::optional<Message> message = takeMessage(buffer);
        if (!message)
            continue;
        Request request;
        const size_t space = message->firstLine.find(' ');
        request.method = message->firstLine.substr(0, space);
        request.target = message->firstLine.substr(space + 1, message->firstLine.rfind(' ') - space - 1);
        request.headers = std::move(message->headers);
        request.body = std::move(message->body);
        const Response response = handler_(request);
        if (response.status != 0)
            isOpen = sendAll(connection, encode(response)) && isOpen;
    }
    ::close(connection);
}

Response call(const Address& to, const Request& request, Millis timeout, bool isAnswerLost)
{
    const Clock::time_point deadline = Clock::now() + timeout;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    Response response;
    if (connectBy(socket, to, deadline) && sendAll(socket, encode(request, to.ip))) {
        std::string buffer;
        bool isOpen = true;
        while (isOpen && response.status == 0 && Clock::now() < deadline) {
            isOpen = readSome(socket, buffer) != ReadResult::Closed;
            if (isAnswerLost) {
                buffer.clear();
                continue;
            }
            if (const std::optional<Message> message = takeMessage(buffer))
                response = { std::atoi(message->firstLine.substr(message->firstLine.find(' ') + 1).c_str()), message->body };
        }
    }
    ::close(socket);
    return response;
}

} // namespace review
