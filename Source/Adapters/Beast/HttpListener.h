#pragma once

#include "Adapters/Beast/ConnectionGuard.h"
#include "Adapters/Beast/HttpLoop.h"
#include "Adapters/Beast/WebMessage.h"
#include "Base/Error.h"
#include "Model/MinionMessages.h"
#include "Model/Units.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace trefoilwing {

class HttpSession;

/// One received request and the means to respond to it.
class HttpExchange : public boost::intrusive_ref_counter<HttpExchange> {
public:
    HttpExchange(HttpLoop&, std::shared_ptr<HttpSession>, WebRequest);
    ~HttpExchange();
    HttpExchange(const HttpExchange&) = delete;
    HttpExchange& operator=(const HttpExchange&) = delete;

    const WebRequest& request() const { return request_; }

    /// Sends the response. May be called from any thread; calls after the first are ignored.
    void respond(WebResponse);

    /// Must be called on the loop's thread, from the handler.
    /// @param abandoned called on the loop's thread if the peer closes the connection before the response is sent.
    void onAbandoned(std::function<void()> abandoned);

private:
    HttpLoop& loop_;
    std::shared_ptr<HttpSession> session_;
    WebRequest request_;
    std::atomic<bool> isAnswered_ { false };
};

using HttpExchangePtr = boost::intrusive_ptr<HttpExchange>;

struct HttpListenerOptions {
    Bytes maxBody { 1U << 20U };
    /// Maximum number of open connections; beyond it, the guard closes the least useful one.
    size_t maxSessions = 1000;
    /// The guard of all listeners of the process; if null, the listener has one of its own with the default limits.
    std::shared_ptr<ConnectionGuard> guard = nullptr;
    /// Name of the listener in log lines.
    std::string name = "http";
};

/// Accepts HTTP/1.1 connections at one address. Passes the requests of each to a handler, one at a time.
class HttpListener {
public:
    /// Called on the loop's thread; must not block.
    using Handler = std::function<void(const HttpExchangePtr&)>;

    HttpListener(HttpLoop&, Handler, HttpListenerOptions);
    ~HttpListener();
    HttpListener(const HttpListener&) = delete;
    HttpListener& operator=(const HttpListener&) = delete;

    /// Binds the address and starts accepting connections.
    Result<Done> listen(const Endpoint&);

    /// From now on each response carries `Connection: close`, and the connection is closed after it.
    void drain();

    /// Looks at the connections of all requests that wait for a response, and handles those that the peer has closed. It is
    /// for a process that has stood still: its loop may not have read the closes yet.
    /// @param done called on the loop's thread, after all abandoned requests were reported.
    void checkPeers(std::function<void()> done);

    /// @return the port that the listener is bound to.
    uint16_t port() const;

private:
    friend class HttpSession;
    struct Shared;

    void accept();
    /// Accepts again a little later, since accepting failed.
    void retryAccept();

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer retryTimer_;
    std::shared_ptr<Shared> shared_;
};

} // namespace trefoilwing
