#include "Adapters/Beast/HttpClient.h"

#include "Adapters/Beast/MessageReading.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
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
using Clock = std::chrono::steady_clock;

namespace {

    /// Interval at which calls in flight are checked for timeouts, which are 150 ms or longer.
    constexpr std::chrono::milliseconds sweepInterval { 40 };

    absl::Time steadyNow()
    {
        return absl::UnixEpoch() + absl::FromChrono(Clock::now().time_since_epoch());
    }

} // namespace

/// A call that waits for a free connection or for its response.
struct HttpClient::Call {
    WebRequest request;
    absl::Duration timeout;
    /// By the steady clock while the call waits for a connection; by the loop's stall-free time once it is sent.
    absl::Time deadline;
    Callback done;

    void finish(HttpResult result)
    {
        if (const Callback callback = std::exchange(done, nullptr))
            callback(std::move(result));
    }
};

struct HttpClient::Pool {
    std::vector<std::shared_ptr<Connection>> idle;
    std::vector<std::shared_ptr<Connection>> busy;
    std::deque<std::shared_ptr<Call>> waiting;
};

/// One connection, with at most one call in flight.
///
/// A read is always pending: between calls it detects that the peer has closed the connection, and during a
/// call it receives the response, so that neither needs polling.
class HttpClient::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(HttpClient& client, Endpoint endpoint)
        : client_(client)
        , endpoint_(std::move(endpoint))
        , socket_(client.loop_.context())
    {
    }

    const Endpoint& endpoint() const { return endpoint_; }
    bool isOpen() const { return socket_.is_open(); }
    bool isStale(Clock::time_point now, absl::Duration idleTimeout) const { return now - idleSince_ > absl::ToChronoNanoseconds(idleTimeout); }
    /// @param now the loop's stall-free time.
    bool isOverdue(absl::Time now) const { return call_ && now >= call_->deadline; }

    void start(std::shared_ptr<Call> call)
    {
        call_ = std::move(call);
        call_->deadline = client_.stallFreeTime_.at(steadyNow()) + call_->timeout;
        isSent_ = false;
        if (socket_.is_open())
            write();
        else
            connect();
    }

    /// @return whether bytes have arrived that the loop hasn't read yet.
    bool hasUnread() const
    {
        error_code ignored;
        return socket_.is_open() && socket_.available(ignored) > 0;
    }

    void fail()
    {
        close();
        const std::shared_ptr<Call> call = std::exchange(call_, nullptr);
        if (!call)
            return;
        client_.releaseConnection(shared_from_this(), false);
        call->finish(isSent_ ? HttpFailure::NoAnswer : HttpFailure::NotSent);
    }

    void close()
    {
        setHeld(0);
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
        ++client_.connects_;
        socket_.async_connect(address, [self = shared_from_this()](error_code failed) {
            if (failed || !self->call_) {
                self->fail();
                return;
            }
            error_code ignored;
            self->socket_.set_option(tcp::no_delay(true), ignored);
            self->write();
            self->read();
        });
    }

    void write()
    {
        const WebRequest& request = call_->request;
        output_ = absl::StrCat(request.method, " ", request.target, " HTTP/1.1\r\nHost: ", request.host, "\r\nContent-Type: application/json\r\nContent-Length: ", request.body.size(), "\r\n");
        for (const auto& [name, value] : request.headers)
            absl::StrAppend(&output_, name, ": ", value, "\r\n");
        absl::StrAppend(&output_, "\r\n", request.body);
        isSent_ = true;
        asio::async_write(socket_, asio::buffer(output_), [self = shared_from_this()](error_code error, size_t) {
            if (error)
                self->fail();
        });
    }

    void read()
    {
        parser_.emplace();
        parser_->header_limit(maxHeaderBytes);
        parser_->body_limit(client_.options_.maxBody.value());
        parser_->eager(true);
        receive();
    }

    void receive()
    {
        const size_t size = boost::beast::read_size(buffer_, maxReadBytes);
        if (size == 0) {
            refuse();
            return;
        }
        socket_.async_read_some(buffer_.prepare(size), [self = shared_from_this()](error_code error, size_t bytes) { self->received(error, bytes); });
    }

    void received(error_code error, size_t bytes)
    {
        buffer_.commit(bytes);
        if (error == asio::error::eof)
            error = parseEnd(*parser_);
        // Between calls the server may only close the connection; data without a call is a protocol error.
        if (error || !call_) {
            fail();
            return;
        }
        if (parseReceived(buffer_, *parser_)) {
            refuse();
            return;
        }
        if (parser_->is_done()) {
            succeed();
            return;
        }
        setHeld(buffer_.capacity() + parser_->get().body().size());
        if (client_.held_ > client_.options_.maxHeld.value())
            refuse();
        else
            receive();
    }

    void refuse()
    {
        ++client_.refused_;
        fail();
    }

    /// Records the number of bytes of the response that is being received.
    void setHeld(uint64_t bytes)
    {
        client_.held_ += bytes - held_;
        held_ = bytes;
    }

    void succeed()
    {
        setHeld(0);
        auto message = parser_->release();
        WebResponse response;
        response.status = message.result_int();
        response.body = std::move(message.body());
        const std::shared_ptr<Call> call = std::exchange(call_, nullptr);
        const bool isReusable = message.keep_alive();
        if (isReusable) {
            idleSince_ = Clock::now();
            read();
        }
        client_.releaseConnection(shared_from_this(), isReusable);
        call->finish(std::move(response));
    }

    HttpClient& client_;
    const Endpoint endpoint_;
    tcp::socket socket_;
    std::shared_ptr<Call> call_;
    bool isSent_ = false;
    uint64_t held_ = 0;
    Clock::time_point idleSince_;
    std::string output_;
    std::optional<http::response_parser<http::string_body>> parser_;
    boost::beast::flat_buffer buffer_ { maxUnparsedBytes };
};

HttpClient::HttpClient(HttpLoop& loop, HttpClientOptions options)
    : loop_(loop)
    , options_(options)
    , sweepTimer_(std::make_unique<asio::steady_timer>(loop.context()))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::call(const Endpoint& endpoint, WebRequest request, absl::Duration timeout, Callback done)
{
    auto call = std::make_shared<Call>(Call { std::move(request), timeout, absl::InfiniteFuture(), std::move(done) });
    loop_.run([this, endpoint, call = std::move(call)] { startCall(endpoint, call); });
}

void HttpClient::startCall(const Endpoint& endpoint, std::shared_ptr<Call> call)
{
    Pool& pool = pools_[endpoint];
    const auto now = Clock::now();
    std::shared_ptr<Connection> connection;
    while (!connection && !pool.idle.empty()) {
        connection = pool.idle.back();
        pool.idle.pop_back();
        if (!connection->isOpen() || connection->isStale(now, options_.idleTimeout)) {
            connection->close();
            connection = nullptr;
        }
    }
    if (!connection && pool.busy.size() >= options_.maxConnections) {
        call->deadline = steadyNow() + call->timeout;
        pool.waiting.push_back(std::move(call));
        return;
    }
    if (!connection)
        connection = std::make_shared<Connection>(*this, endpoint);
    pool.busy.push_back(connection);
    ++busy_;
    scheduleSweep();
    connection->start(std::move(call));
}

void HttpClient::releaseConnection(const std::shared_ptr<Connection>& connection, bool isReusable)
{
    Pool& pool = pools_[connection->endpoint()];
    std::erase(pool.busy, connection);
    --busy_;
    if (isReusable && pool.idle.size() < options_.maxIdle)
        pool.idle.push_back(connection);
    else
        connection->close();
    const absl::Time now = steadyNow();
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

void HttpClient::scheduleSweep()
{
    if (isSweeping_)
        return;
    isSweeping_ = true;
    sweepTimer_->expires_after(sweepInterval);
    sweepTimer_->async_wait([this](error_code error) {
        isSweeping_ = false;
        if (error)
            return;
        const auto lateness = std::chrono::duration_cast<std::chrono::nanoseconds>(Clock::now() - sweepTimer_->expiry());
        stallFreeTime_.recordDelay(absl::FromChrono(lateness));
        if (lateness.count() > worstLatenessNs_)
            worstLatenessNs_ = lateness.count();
        sweep();
        if (busy_ > 0)
            scheduleSweep();
    });
}

void HttpClient::sweep()
{
    const absl::Time now = stallFreeTime_.at(steadyNow());
    std::vector<std::shared_ptr<Connection>> overdue;
    for (const auto& [endpoint, pool] : pools_) {
        for (const std::shared_ptr<Connection>& connection : pool.busy) {
            if (connection->isOverdue(now))
                overdue.push_back(connection);
        }
    }
    for (const std::shared_ptr<Connection>& connection : overdue) {
        if (connection->hasUnread()) {
            ++unread_;
            continue;
        }
        ++unanswered_;
        connection->fail();
    }
}

HttpClientTotals HttpClient::takeTotals()
{
    return { connects_, unanswered_, unread_, refused_, absl::Nanoseconds(worstLatenessNs_.exchange(0)) };
}

} // namespace trefoilwing
