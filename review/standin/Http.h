#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

struct Endpoint {
    std::string address;
    int port = 0;
};

struct Request {
    std::string method;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

struct Response {
    int status = 0;
    std::string body;
};

/// One HTTP/1.1 call on a connection of its own.
/// @return the response, or nothing if none arrived within the timeout; the connection is then closed.
std::optional<Response> call(const Endpoint&, const Request&, Milliseconds timeout);

/// Sends a request as bytes at once and closes the connection without waiting for an answer, as a process does that ends.
/// @return whether the request was sent.
bool sendOnly(const Endpoint&, const Request&);

/// An HTTP/1.1 server with one thread for each connection.
class Server {
public:
    using Handler = std::function<Response(const Request&)>;

    Server(const Endpoint&, Handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    bool isListening() const { return listener_ >= 0; }
    /// Closes the listener and all connections, as the end of a process does.
    void close();

private:
    void accept();
    void serve(int connection);

    Handler handler_;
    int listener_ = -1;
    std::atomic<bool> isClosing_ { false };
    std::thread thread_;
    std::mutex mutex_;
    std::list<std::pair<int, std::thread>> connections_;
};

} // namespace review
