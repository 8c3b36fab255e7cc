#include "Adapters/Beast/HttpListener.h"

#include "Adapters/Beast/MessageReading.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <boost/intrusive/list.hpp>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <optional>
#include <string_view>
#include <sys/socket.h>

namespace trefoilwing {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

    /// A buffer larger than this isn't kept for the next request.
    constexpr size_t maxIdleBufferBytes = 4096;
    /// Estimated memory of a connection itself, and of each header field beside its text.
    constexpr size_t sessionBytes = 2048;
    constexpr size_t fieldBytes = 160;
    /// Time after which accepting is tried again, after it failed for lack of descriptors or memory.
    constexpr std::chrono::milliseconds acceptRetryInterval { 20 };
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

    /// @return an estimate of the memory that a message holds without its body.
    size_t headerBytes(const http::request<http::string_body>& message)
    {
        size_t bytes = message.target().size();
        for (const auto& field : message)
            bytes += fieldBytes + 2 * (field.name_string().size() + field.value().size());
        return bytes;
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
        , options(std::move(listenerOptions))
        , guard(options.guard ? options.guard : std::make_shared<ConnectionGuard>(httpLoop, ConnectionLimits {}, ConnectionReports {}))
        , listener(guard->addListener(options.name, options.maxSessions))
    {
    }

    HttpLoop& loop;
    Handler handler;
    HttpListenerOptions options;
    std::shared_ptr<ConnectionGuard> guard;
    ListenerId listener;
    std::atomic<bool> isDraining { false };
    /// Used on the loop's thread only.
    boost::intrusive::list<ListedSession, boost::intrusive::constant_time_size<false>> openSessions;
};

/// One connection: passes one request at a time to the handler and writes its response.
///
/// A read is always pending, so that a close by the peer is detected while a request waits for its response.
class HttpSession : public std::enable_shared_from_this<HttpSession>, private ListedSession, private GuardedConnection {
public:
    HttpSession(tcp::socket socket, std::shared_ptr<HttpListener::Shared> shared)
        : socket_(std::move(socket))
        , shared_(std::move(shared))
        , id_(shared_->guard->open(shared_->listener, *this))
    {
        shared_->openSessions.push_back(*this);
    }

    ~HttpSession() override { shared_->guard->remove(id_); }

    void read()
    {
        if (buffer_.size() == 0 && buffer_.capacity() > maxIdleBufferBytes)
            buffer_.shrink_to_fit();
        parser_.emplace();
        parser_->body_limit(shared_->options.maxBody.value());
        parser_->header_limit(maxHeaderBytes);
        parser_->eager(true);
        headerBytes_ = 0;
        parse();
    }

    void answer(const WebResponse& response)
    {
        abandoned_ = nullptr;
        if (isClosed_)
            return;
        const bool keepsAlive = keepsAlive_ && !shared_->isDraining;
        sharedBody_ = response.sharedBody;
        const std::string_view sharedText = sharedBody_ ? std::string_view(*sharedBody_) : std::string_view();
        const size_t bodyBytes = response.body.size() + sharedText.size();
        output_ = absl::StrCat("HTTP/1.1 ", response.status, " ", absl::string_view(http::obsolete_reason(http::int_to_status(response.status)).data()), "\r\nContent-Length: ", bodyBytes, "\r\n");
        const bool hasType = findHeader(response.headers, "Content-Type") != nullptr;
        if (bodyBytes > 0 && !hasType)
            absl::StrAppend(&output_, "Content-Type: application/json\r\n");
        for (const auto& [name, value] : response.headers)
            absl::StrAppend(&output_, name, ": ", value, "\r\n");
        absl::StrAppend(&output_, keepsAlive ? "\r\n" : "Connection: close\r\n\r\n", response.body);
        servedBytes_ = 0;
        isSending_ = true;
        report();
        if (isClosed_)
            return;
        const std::array<asio::const_buffer, 2> buffers { asio::buffer(output_), asio::buffer(sharedText) };
        asio::async_write(socket_, buffers, [self = shared_from_this(), keepsAlive](error_code error, size_t) { self->answerSent(error, keepsAlive); });
    }

    void setAbandonHandler(std::function<void()> abandoned)
    {
        if (isBusy_)
            abandoned_ = std::move(abandoned);
    }

private:
    void receive()
    {
        const size_t size = boost::beast::read_size(buffer_, maxReadBytes);
        if (size == 0) {
            readDone(http::error::buffer_overflow);
            return;
        }
        socket_.async_read_some(buffer_.prepare(size), [self = shared_from_this()](error_code error, size_t bytes) { self->received(error, bytes); });
    }

    void received(error_code error, size_t bytes)
    {
        if (isClosed_)
            return;
        buffer_.commit(bytes);
        if (error == asio::error::eof)
            error = parseEnd(*parser_);
        if (error)
            readDone(error);
        else
            parse();
    }

    /// Parses what was received, until the message is whole or needs more.
    void parse()
    {
        const error_code error = parseReceived(buffer_, *parser_);
        const bool isHeaderNew = headerBytes_ == 0 && parser_->is_header_done();
        if (isHeaderNew)
            headerBytes_ = headerBytes(parser_->get());
        report();
        if (isClosed_)
            return;
        if (error || parser_->is_done())
            readDone(error);
        else if (isHeaderNew && !isBusy_ && boost::beast::iequals(parser_->get()[http::field::expect], "100-continue"))
            askForBody();
        else
            receive();
    }

    /// Tells a client that waits for it that its header was accepted.
    void askForBody()
    {
        static constexpr std::string_view text = "HTTP/1.1 100 Continue\r\n\r\n";
        asio::async_write(socket_, asio::buffer(text), [self = shared_from_this()](error_code error, size_t) {
            if (self->isClosed_)
                return;
            if (error)
                self->close();
            else
                self->receive();
        });
    }

    void readDone(error_code error)
    {
        if (error) {
            if (error.category() == http::make_error_code(http::error::bad_method).category() && error != http::error::end_of_stream && !isBusy_)
                reject(error);
            else
                abandon();
            return;
        }
        // The trailers are fields of the message too.
        nextBytes_ = headerBytes(parser_->get()) + parser_->get().body().size();
        next_ = parser_->release();
        headerBytes_ = 0;
        isReading_ = false;
        if (!isBusy_)
            serveNext();
        else
            report();
    }

    void answerSent(error_code error, bool keepsAlive)
    {
        isBusy_ = false;
        isSending_ = false;
        output_ = {};
        sharedBody_ = nullptr;
        if (error || !keepsAlive) {
            close();
            return;
        }
        report();
        if (!isClosed_)
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
        servedBytes_ = std::exchange(nextBytes_, 0);
        keepsAlive_ = message.keep_alive();
        isBusy_ = true;
        const HttpExchangePtr exchange(new HttpExchange(shared_->loop, shared_from_this(), toRequest(std::move(message))));
        isReading_ = true;
        read();
        if (!isClosed_)
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
        shared_->guard->remove(id_);
        isClosed_ = true;
        error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_both, ignored);
        socket_.close(ignored);
    }

    /// Closes the connection for the guard. Its buffers are released when the pending operations end, which is at once.
    void closeNow() override
    {
        // The abandoned request's handler may release the last reference to this.
        const std::shared_ptr<HttpSession> self = shared_from_this();
        abandon();
    }

    /// Reports to the guard, which may close this connection.
    void report()
    {
        const size_t unfinished = isReading_ ? headerBytes_ + parser_->get().body().size() : 0;
        const size_t unsent = output_.size() + (sharedBody_ ? sharedBody_->size() : 0);
        shared_->guard->update(id_, phase(), Bytes(sessionBytes + buffer_.capacity() + unfinished + nextBytes_ + servedBytes_ + unsent));
    }

    ConnectionPhase phase() const
    {
        if (isSending_)
            return ConnectionPhase::Sending;
        if (isBusy_ || next_)
            return ConnectionPhase::Serving;
        if (buffer_.size() == 0 && !parser_->got_some())
            return ConnectionPhase::Idle;
        return parser_->is_header_done() ? ConnectionPhase::Body : ConnectionPhase::Header;
    }

    tcp::socket socket_;
    std::shared_ptr<HttpListener::Shared> shared_;
    const ConnectionId id_;
    boost::beast::flat_buffer buffer_ { maxUnparsedBytes };
    std::optional<http::request_parser<http::string_body>> parser_;
    /// A pipelined request, received before the previous one was answered. No more are read until it is served.
    std::optional<http::request<http::string_body>> next_;
    std::string output_;
    std::shared_ptr<const std::string> sharedBody_;
    /// Estimated sizes of the header that is being received, of the next request, and of the one being served.
    size_t headerBytes_ = 0;
    size_t nextBytes_ = 0;
    size_t servedBytes_ = 0;
    bool isReading_ = true;
    bool keepsAlive_ = true;
    bool isBusy_ = false;
    bool isSending_ = false;
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
    , retryTimer_(loop.context())
    , shared_(std::make_shared<Shared>(loop, std::move(handler), std::move(options)))
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
        if (error) {
            // Accepting at once would fail again and again, as the connection still waits.
            shared_->guard->releaseDescriptor();
            retryAccept();
            return;
        }
        if (shared_->guard->admit(shared_->listener)) {
            error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            std::make_shared<HttpSession>(std::move(socket), shared_)->read();
        }
        accept();
    });
}

void HttpListener::retryAccept()
{
    retryTimer_.expires_after(acceptRetryInterval);
    retryTimer_.async_wait([this](error_code error) {
        if (!error)
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
