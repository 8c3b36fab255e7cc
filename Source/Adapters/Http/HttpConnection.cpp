#include "Adapters/Http/HttpConnection.h"

#include <absl/time/clock.h>
#include <httplib.h>

namespace trefoilwing {

namespace {

    /// Shorter than the time after which servers close an idle connection (5 s). A request sent while the server
    /// closes would be lost without an answer, and its tasks would count as possibly started.
    constexpr absl::Duration maxIdleTime = absl::Seconds(2);

    bool isNeverSent(httplib::Error error)
    {
        return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
    }

    PostOutcome toOutcome(const httplib::Result& result)
    {
        if (result)
            return HttpAnswer { result->status, result->body };
        if (isNeverSent(result.error()))
            return NotConnected {};
        return NoAnswer {};
    }

} // namespace

struct HttpConnection::Impl {
    httplib::Client client;
};

HttpConnection::HttpConnection(const Endpoint& endpoint, const HttpTimeouts& timeouts)
    : impl_(new Impl { httplib::Client(endpoint.address, endpoint.port) })
{
    httplib::Client& client = impl_->client;
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(absl::ToChronoMicroseconds(timeouts.connect));
    client.set_read_timeout(absl::ToChronoMicroseconds(timeouts.answer));
    client.set_write_timeout(absl::ToChronoMicroseconds(timeouts.answer));
}

HttpConnection::~HttpConnection() = default;

void HttpConnection::closeIfIdle()
{
    const absl::Time now = absl::Now();
    if (now - lastUse_ > maxIdleTime)
        impl_->client.stop();
    lastUse_ = now;
}

PostOutcome HttpConnection::post(const std::string& path, const std::string& body)
{
    closeIfIdle();
    PostOutcome outcome = toOutcome(impl_->client.Post(path, body, "application/json"));
    lastUse_ = absl::Now();
    return outcome;
}

PostOutcome HttpConnection::get(const std::string& path)
{
    closeIfIdle();
    PostOutcome outcome = toOutcome(impl_->client.Get(path));
    lastUse_ = absl::Now();
    return outcome;
}

} // namespace trefoilwing
