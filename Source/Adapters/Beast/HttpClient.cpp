#include "Adapters/Beast/HttpClient.h"

#include <absl/time/clock.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <deque>
#include <optional>
#include <vector>

namespace trefoilwing {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

/// A call that waits for a connection or a response.
struct HttpClient::Call {
    WebRequest request;
    std::chrono::steady_clock::time_point deadline;
    Callback done;

    void finish(HttpResult result)
    {
        if (const Callback callback = std::exchange(done, nullptr))
            callback(std::move(result));
    }
};

struct HttpClient::Pool {
    std::vector<std::shared_ptr<Connection>> idle;
    size_t open = 0;
    std::deque<std::shared_ptr<Call>> waiting;
};

/// One connection, with one call under way at a time.
class HttpClient::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(HttpClient& client, Endpoint endpoint)
        : client_(client)
        , endpoint_(std::move(endpoint))
        , socket_(client.loop_.context())
        , timer_(client.loop_.context())
    {
    }

    const Endpoint& endpoint() const { return endpoint_; }
    bool isOpen() const { return socket_.is_open(); }
    bool isStale(std::chrono::steady_clock::time_point now, absl::Duration life) const { return now - idleSince_ > absl::ToChronoNanoseconds(life); }

    void start(std::shared_ptr<Call> call)
    {
        call_ = std::move(call);
        isSent_ = false;
        // Ends the watch of an idle connection.
        if (socket_.is_open()) {
            error_code ignored;
            socket_.cancel(ignored);
        }
        timer_.expires_at(call_->deadline);
        timer_.async_wait([self = shared_from_this(), call = call_](error_code error) {
            if (!error && self->call_ == call)
                self->fail();
        });
        if (socket_.is_open())
            write();
        else
            connect();
    }

    void watchIdle()
    {
        idleSince_ = std::chrono::steady_clock::now();
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
            // Whatever comes on an idle connection is its end.
            if (!error && !self->call_)
                self->close();
        });
    }

    void close()
    {
        error_code ignored;
        socket_.close(ignored);
    }

private:
    void connect()
    {
        error_code error;
        const tcp::endpoint address(asio::ip::make_address(endpoint_.address, error), endpoint_.port);
        if (error) {
            fail();
            return;
        }
        socket_.async_connect(address, [self = shared_from_this(), call = call_](error_code failed) {
            if (self->call_ != call)
                return;
            if (failed) {
                self->fail();
                return;
            }
            error_code ignored;
            self->socket_.set_option(tcp::no_delay(true), ignored);
            self->write();
        });
    }

    void write()
    {
        message_ = {};
        message_.version(11);
        message_.method_string(call_->request.method);
        message_.target(call_->request.target);
        message_.set(http::field::host, call_->request.host);
        for (const auto& [name, value] : call_->request.headers)
            message_.set(name, value);
        if (!call_->request.body.empty())
            message_.set(http::field::content_type, "application/json");
        message_.body() = call_->request.body;
        message_.prepare_payload();
        isSent_ = true;
        http::async_write(socket_, message_, [self = shared_from_this(), call = call_](error_code error, size_t) {
            if (self->call_ != call)
                return;
            if (error)
                self->fail();
            else
                self->read();
        });
    }

    void read()
    {
        parser_.emplace();
        http::async_read(socket_, buffer_, *parser_, [self = shared_from_this(), call = call_](error_code error, size_t) {
            if (self->call_ != call)
                return;
            if (error)
                self->fail();
            else
                self->succeed();
        });
    }

    void succeed()
    {
        timer_.cancel();
        auto message = parser_->release();
        WebResponse response;
        response.status = message.result_int();
        for (const auto& field : message)
            response.headers.emplace_back(std::string(field.name_string().data(), field.name_string().size()), std::string(field.value().data(), field.value().size()));
        response.body = std::move(message.body());
        const std::shared_ptr<Call> call = std::exchange(call_, nullptr);
        client_.released(shared_from_this(), message.keep_alive());
        call->finish(std::move(response));
    }

    void fail()
    {
        timer_.cancel();
        close();
        const std::shared_ptr<Call> call = std::exchange(call_, nullptr);
        client_.released(shared_from_this(), false);
        call->finish(isSent_ ? HttpFailure::NoAnswer : HttpFailure::NotSent);
    }

    HttpClient& client_;
    const Endpoint endpoint_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    std::shared_ptr<Call> call_;
    bool isSent_ = false;
    std::chrono::steady_clock::time_point idleSince_;
    http::request<http::string_body> message_;
    std::optional<http::response_parser<http::string_body>> parser_;
    boost::beast::flat_buffer buffer_;
};

HttpClient::HttpClient(HttpLoop& loop, HttpClientOptions options)
    : loop_(loop)
    , options_(options)
{
}

HttpClient::~HttpClient() = default;

void HttpClient::call(const Endpoint& endpoint, WebRequest request, absl::Duration timeout, Callback done)
{
    auto call = std::make_shared<Call>(Call { std::move(request), std::chrono::steady_clock::now() + absl::ToChronoNanoseconds(timeout), std::move(done) });
    loop_.run([this, endpoint, call = std::move(call)] { startCall(endpoint, call); });
}

void HttpClient::startCall(const Endpoint& endpoint, std::shared_ptr<Call> call)
{
    Pool& pool = pools_[endpoint];
    const auto now = std::chrono::steady_clock::now();
    while (!pool.idle.empty()) {
        const std::shared_ptr<Connection> connection = pool.idle.back();
        pool.idle.pop_back();
        if (connection->isOpen() && !connection->isStale(now, options_.idleLife)) {
            connection->start(std::move(call));
            return;
        }
        connection->close();
        --pool.open;
    }
    if (pool.open >= options_.maxConnections) {
        pool.waiting.push_back(std::move(call));
        return;
    }
    ++pool.open;
    std::make_shared<Connection>(*this, endpoint)->start(std::move(call));
}

void HttpClient::released(const std::shared_ptr<Connection>& connection, bool isReusable)
{
    Pool& pool = pools_[connection->endpoint()];
    if (isReusable && pool.idle.size() < options_.maxIdle) {
        pool.idle.push_back(connection);
        connection->watchIdle();
    } else {
        connection->close();
        --pool.open;
    }
    const auto now = std::chrono::steady_clock::now();
    while (!pool.waiting.empty()) {
        const std::shared_ptr<Call> call = pool.waiting.front();
        pool.waiting.pop_front();
        if (call->deadline > now) {
            startCall(connection->endpoint(), call);
            return;
        }
        call->finish(HttpFailure::NotSent);
    }
}

} // namespace trefoilwing
