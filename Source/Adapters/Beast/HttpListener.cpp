#include "Adapters/Beast/HttpListener.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <boost/intrusive/list.hpp>

#include <cerrno>
#include <optional>
#include <sys/socket.h>

namespace trefoilwing {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

    constexpr uint32_t maxHeaderBytes = 16384;
    /// Maximum number of connections waiting to be accepted, since clients connect in bursts.
    constexpr int backlog = 256;

    std::string toString(boost::beast::string_view text)
    {
        return { text.data(), text.size() };
    }

    WebRequest toRequest(http::request<http::string_body>&& message)
    {
        WebRequest request { toString(message.method_string()), toString(message.target()), toString(message[http::field::host]), {}, std::move(message.body()) };
        for (const auto& field : message)
            request.headers.emplace_back(toString(field.name_string()), toString(field.value()));
        return request;
    }

    /// @return whether the peer has closed or reset a connection, although the close hasn't been read yet.
    bool hasPeerClosed(int descriptor)
    {
        char byte = 0;
        const ssize_t count = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    }

} // namespace

/// A session in the list of its listener. It leaves the list when it is destroyed.
class ListedSession : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
public:
    virtual ~ListedSession() = default;

    virtual void checkPeer() = 0;
};

/// State shared by the sessions of a listener. It lives until the last session ends, which may be after the listener.
struct HttpListener::Shared {
    Shared(HttpLoop& httpLoop, Handler requestHandler, HttpListenerOptions listenerOptions)
        : loop(httpLoop)
        , handler(std::move(requestHandler))
        , options(listenerOptions)
    {
    }

    HttpLoop& loop;
    Handler handler;
    HttpListenerOptions options;
    std::atomic<bool> isDraining { false };
    size_t sessions = 0;
    /// Used on the loop's thread only.
    boost::intrusive::list<ListedSession, boost::intrusive::constant_time_size<false>> openSessions;
};

/// One connection: passes one request at a time to the handler and writes its response.
///
/// A read is always pending, so that a close by the peer is detected while a request waits for its response.
class HttpSession : public std::enable_shared_from_this<HttpSession>, private ListedSession {
public:
    HttpSession(tcp::socket socket, std::shared_ptr<HttpListener::Shared> shared)
        : socket_(std::move(socket))
        , shared_(std::move(shared))
    {
        ++shared_->sessions;
        shared_->openSessions.push_back(*this);
    }

    ~HttpSession() override { --shared_->sessions; }

    void read()
    {
        parser_.emplace();
        parser_->body_limit(shared_->options.maxBody.value());
        parser_->header_limit(maxHeaderBytes);
        http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](error_code error, size_t) { self->readDone(error); });
    }

    void answer(const WebResponse& response)
    {
        abandoned_ = nullptr;
        if (isClosed_)
            return;
        const bool keepsAlive = keepsAlive_ && !shared_->isDraining;
        output_ = absl::StrCat("HTTP/1.1 ", response.status, " ", absl::string_view(http::obsolete_reason(http::int_to_status(response.status)).data()), "\r\nContent-Length: ", response.body.size(), "\r\n");
        const bool hasType = findHeader(response.headers, "Content-Type") != nullptr;
        if (!response.body.empty() && !hasType)
            absl::StrAppend(&output_, "Content-Type: application/json\r\n");
        for (const auto& [name, value] : response.headers)
            absl::StrAppend(&output_, name, ": ", value, "\r\n");
        absl::StrAppend(&output_, keepsAlive ? "\r\n" : "Connection: close\r\n\r\n", response.body);
        asio::async_write(socket_, asio::buffer(output_), [self = shared_from_this(), keepsAlive](error_code error, size_t) {
            self->isBusy_ = false;
            if (error || !keepsAlive)
                self->close();
            else
                self->serveNext();
        });
    }

    void setAbandonHandler(std::function<void()> abandoned)
    {
        if (isBusy_)
            abandoned_ = std::move(abandoned);
    }

private:
    void readDone(error_code error)
    {
        if (error) {
            if (error.category() == http::make_error_code(http::error::bad_method).category() && error != http::error::end_of_stream && !isBusy_)
                reject(error);
            else
                abandon();
            return;
        }
        next_ = parser_->release();
        if (!isBusy_)
            serveNext();
    }

    void checkPeer() override
    {
        if (isBusy_ && !isClosed_ && hasPeerClosed(socket_.native_handle()))
            abandon();
    }

    void serveNext()
    {
        if (!next_)
            return;
        // The request may have waited in the socket for long, if this process stood still.
        if (hasPeerClosed(socket_.native_handle())) {
            close();
            return;
        }
        http::request<http::string_body> message = std::move(*next_);
        next_.reset();
        keepsAlive_ = message.keep_alive();
        isBusy_ = true;
        const HttpExchangePtr exchange(new HttpExchange(shared_->loop, shared_from_this(), toRequest(std::move(message))));
        read();
        shared_->handler(exchange);
    }

    void reject(error_code error)
    {
        keepsAlive_ = false;
        isBusy_ = true;
        answer({ error == http::error::body_limit ? 413U : 400U, {}, absl::StrCat("{\"error\":\"", error.message(), "\"}") });
    }

    void abandon()
    {
        close();
        if (const auto abandoned = std::exchange(abandoned_, nullptr))
            abandoned();
    }

    void close()
    {
        isClosed_ = true;
        error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_both, ignored);
        socket_.close(ignored);
    }

    tcp::socket socket_;
    std::shared_ptr<HttpListener::Shared> shared_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    /// A pipelined request, received before the previous one was answered. No more are read until it is served.
    std::optional<http::request<http::string_body>> next_;
    std::string output_;
    bool keepsAlive_ = true;
    bool isBusy_ = false;
    bool isClosed_ = false;
    std::function<void()> abandoned_;
};

HttpExchange::HttpExchange(HttpLoop& loop, std::shared_ptr<HttpSession> session, WebRequest request)
    : loop_(loop)
    , session_(std::move(session))
    , request_(std::move(request))
{
}

HttpExchange::~HttpExchange() = default;

void HttpExchange::respond(WebResponse response)
{
    if (isAnswered_.exchange(true))
        return;
    loop_.run([session = session_, response = std::move(response)] { session->answer(response); });
}

void HttpExchange::onAbandoned(std::function<void()> abandoned)
{
    session_->setAbandonHandler(std::move(abandoned));
}

HttpListener::HttpListener(HttpLoop& loop, Handler handler, HttpListenerOptions options)
    : acceptor_(loop.context())
    , shared_(std::make_shared<Shared>(loop, std::move(handler), options))
{
}

HttpListener::~HttpListener() = default;

Result<Done> HttpListener::listen(const Endpoint& endpoint)
{
    error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (!error)
        acceptor_.open(tcp::v4(), error);
    if (!error)
        acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor_.bind({ address, endpoint.port }, error);
    if (!error)
        acceptor_.listen(backlog, error);
    if (error)
        return Error { ErrorCode::Unavailable, absl::StrCat("cannot listen at ", endpoint.address, ":", endpoint.port, ": ", error.message()) };
    accept();
    return Done {};
}

void HttpListener::accept()
{
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error && shared_->sessions < shared_->options.maxSessions) {
            error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            std::make_shared<HttpSession>(std::move(socket), shared_)->read();
        }
        accept();
    });
}

void HttpListener::drain()
{
    shared_->isDraining = true;
}

void HttpListener::checkPeers(std::function<void()> done)
{
    shared_->loop.run([shared = shared_, done = std::move(done)] {
        // An abandoned session may be destroyed, and so leave the list.
        for (auto next = shared->openSessions.begin(); next != shared->openSessions.end();)
            (next++)->checkPeer();
        done();
    });
}

uint16_t HttpListener::port() const
{
    error_code ignored;
    return acceptor_.local_endpoint(ignored).port();
}

} // namespace trefoilwing
