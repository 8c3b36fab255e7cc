#pragma once

#include "Adapters/Beast/HttpLoop.h"
#include "Adapters/Beast/WebMessage.h"
#include "Base/Error.h"
#include "Model/MinionMessages.h"
#include "Model/Units.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <atomic>
#include <functional>
#include <memory>

namespace trefoilwing {

class HttpSession;

/// One request and the way back for its answer.
class HttpExchange : public boost::intrusive_ref_counter<HttpExchange> {
public:
    HttpExchange(HttpLoop&, std::shared_ptr<HttpSession>, WebRequest);
    ~HttpExchange();
    HttpExchange(const HttpExchange&) = delete;
    HttpExchange& operator=(const HttpExchange&) = delete;

    const WebRequest& request() const { return request_; }

    /// Answers, once, from any thread.
    void respond(WebResponse);

    /// @param abandoned is called on the loop's thread if the peer closes before the answer. Call this on the
    /// loop's thread, from the handler.
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
    /// Connections beyond it are turned away at once.
    size_t maxSessions = 1000;
};

/// Accepts HTTP/1.1 connections at one address and hands on their requests, one after the other.
class HttpListener {
public:
    /// Called on the loop's thread; must not wait.
    using Handler = std::function<void(const HttpExchangePtr&)>;

    HttpListener(HttpLoop&, Handler, HttpListenerOptions);
    ~HttpListener();
    HttpListener(const HttpListener&) = delete;
    HttpListener& operator=(const HttpListener&) = delete;

    /// Binds the address and begins to accept.
    Result<Done> listen(const Endpoint&);

    /// From now on each answer tells the peer that its connection ends with it.
    void drain();

    /// @return the port that it listens on.
    uint16_t port() const;

private:
    friend class HttpSession;
    struct Shared;

    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    std::shared_ptr<Shared> shared_;
};

} // namespace trefoilwing
