#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

struct Address {
    std::string ip;
    int port = 0;
};

struct Request {
    std::string method;
    std::string target;
    /// Names are in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

struct Response {
    /// 0 stands for no response: at a server the request is left unanswered, at a client the channel ended or timed out.
    int status = 0;
    std::string body;
};

/// Serves HTTP/1.1 with one thread per connection. The handler may block.
class HttpServer {
public:
    using Handler = std::function<Response(const Request&)>;

    HttpServer(const Address& address, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    bool isListening() const { return listener_ >= 0; }
    /// Closes the listener and all connections.
    void stop();

private:
    void accept();
    void serve(int connection);

    const Handler handler_;
    std::atomic<bool> isStopping_ { false };
    int listener_ = -1;
    std::mutex mutex_;
    std::list<std::thread> connections_;
    std::thread thread_;
};

/// Sends one request on a connection of its own.
/// @param isAnswerLost whether the response is dropped on its way: the request is delivered, and the caller hears nothing.
Response call(const Address& to, const Request& request, Millis timeout, bool isAnswerLost = false);

} // namespace review
