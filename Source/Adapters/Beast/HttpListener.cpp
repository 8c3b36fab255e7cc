#include "Adapters/Beast/HttpListener.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <optional>
#include <sys/socket.h>

namespace trefoilwing {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

    constexpr uint32_t maxHeaderBytes = 16384;
    /// Waiting connections; clients come in bursts.
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

} // namespace

/// What the sessions of a listener share; it outlives the listener where sessions do.
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
};

/// One connection: reads a request, waits for its answer, writes it, and reads on.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
    HttpSession(tcp::socket socket, std::shared_ptr<HttpListener::Shared> shared)
        : socket_(std::move(socket))
        , shared_(std::move(shared))
    {
        ++shared_->sessions;
    }

    ~HttpSession() { --shared_->sessions; }

    void read()
    {
        parser_.emplace();
        parser_->body_limit(shared_->options.maxBody.value());
        parser_->header_limit(maxHeaderBytes);
        http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](error_code error, size_t) { self->readDone(error); });
    }

    void answer(WebResponse response)
    {
        isWaiting_ = false;
        abandoned_ = nullptr;
        // Ends the watch for the peer's end.
        error_code ignored;
        socket_.cancel(ignored);
        if (isClosed_)
            return;
        auto message = std::make_shared<http::response<http::string_body>>();
        message->version(11);
        message->result(response.status);
        for (const auto& [name, value] : response.headers)
            message->set(name, value);
        if (!response.body.empty())
            message->set(http::field::content_type, "application/json");
        message->body() = std::move(response.body);
        message->keep_alive(keepsAlive_ && !shared_->isDraining);
        message->prepare_payload();
        http::async_write(socket_, *message, [self = shared_from_this(), message](error_code error, size_t) {
            if (error || !message->keep_alive())
                self->close();
            else
                self->read();
        });
    }

    void watch(std::function<void()> abandoned)
    {
        if (!isWaiting_)
            return;
        abandoned_ = std::move(abandoned);
        waitForEnd();
    }

private:
    void readDone(error_code error)
    {
        if (error == http::error::end_of_stream || error == asio::error::operation_aborted) {
            close();
            return;
        }
        if (error) {
            refuse(error);
            return;
        }
        auto message = parser_->release();
        keepsAlive_ = message.keep_alive();
        isWaiting_ = true;
        const HttpExchangePtr exchange(new HttpExchange(shared_->loop, shared_from_this(), toRequest(std::move(message))));
        shared_->handler(exchange);
    }

    void refuse(error_code error)
    {
        // A transport's error leaves nobody to answer.
        if (error.category() != http::make_error_code(http::error::bad_method).category()) {
            close();
            return;
        }
        keepsAlive_ = false;
        answer({ error == http::error::body_limit ? 413U : 400U, {}, absl::StrCat("{\"error\":\"", error.message(), "\"}") });
    }

    void waitForEnd()
    {
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
            if (error || !self->isWaiting_)
                return;
            char byte = 0;
            const ssize_t count = ::recv(self->socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            // Bytes of a next request stay where they are until this one is answered.
            if (count > 0 || (count < 0 && errno == EAGAIN))
                return;
            self->close();
            if (const auto abandoned = std::exchange(self->abandoned_, nullptr))
                abandoned();
        });
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
    bool keepsAlive_ = true;
    bool isWaiting_ = false;
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
    loop_.run([session = session_, response = std::move(response)]() mutable { session->answer(std::move(response)); });
}

void HttpExchange::onAbandoned(std::function<void()> abandoned)
{
    session_->watch(std::move(abandoned));
}

HttpListener::HttpListener(HttpLoop& loop, Handler handler, HttpListenerOptions options)
    : loop_(loop)
    , acceptor_(loop.context())
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

uint16_t HttpListener::port() const
{
    error_code ignored;
    return acceptor_.local_endpoint(ignored).port();
}

} // namespace trefoilwing
