#include "Adapters/Http/OperatorApi.h"

#include "Adapters/Http/ErrorResponse.h"
#include "Adapters/Http/OperatorCodec.h"
#include "Adapters/Http/PendingAnswer.h"

#include <array>

namespace trefoilwing {

namespace {

    /// Long enough for a leader election in the group that decides.
    constexpr absl::Duration decisionTimeout = absl::Seconds(5);

    HttpResponse json(std::string body)
    {
        HttpResponse response;
        response.body = std::move(body);
        return response;
    }

    Error decisionTimeoutError(const char* what)
    {
        return { ErrorCode::Unavailable, std::string("No decision came in time; the ") + what + " may still be decided. Send the same again.", Verdict::MayHaveRun };
    }

} // namespace

OperatorApi::OperatorApi(Operations& operations, const MetricsSource& source, SnapshotWriter writer)
    : operations_(operations)
    , source_(source)
    , writer_(std::move(writer))
{
}

void OperatorApi::addRoutes(HttpServer& server)
{
    struct Route {
        HttpMethod method;
        const char* path;
        HttpResponse (OperatorApi::*handler)(const HttpRequest&);
    };
    static constexpr std::array<Route, 7> routes { {
        { HttpMethod::Get, "/v1/status", &OperatorApi::status },
        { HttpMethod::Get, "/v1/configuration", &OperatorApi::configuration },
        { HttpMethod::Post, "/v1/configuration", &OperatorApi::publish },
        { HttpMethod::Post, "/v1/drain", &OperatorApi::drain },
        { HttpMethod::Post, "/v1/members", &OperatorApi::removeMember },
        { HttpMethod::Get, "/v1/metrics", &OperatorApi::snapshot },
        { HttpMethod::Get, "/metrics", &OperatorApi::metrics },
    } };
    for (const Route& route : routes)
        server.route(route.method, route.path, [this, handler = route.handler](const HttpRequest& request) { return (this->*handler)(request); });
}

HttpResponse OperatorApi::status(const HttpRequest&)
{
    return json(encodeStatus(operations_.status()));
}

HttpResponse OperatorApi::configuration(const HttpRequest&)
{
    return json(encodeConfiguration(operations_.configuration()));
}

HttpResponse OperatorApi::publish(const HttpRequest& request)
{
    const Result<PublishRecord> record = decodePublish(request.body);
    if (const Error* error = errorOf(record))
        return errorResponse(*error);
    PendingAnswer<ConfigurationVersion> pending;
    operations_.publish(*valueOf(record), pending.callback());
    const Result<ConfigurationVersion> version = pending.wait(decisionTimeout, decisionTimeoutError("change"));
    if (const Error* error = errorOf(version))
        return errorResponse(*error);
    return json(encodeVersion(*valueOf(version)));
}

HttpResponse OperatorApi::drain(const HttpRequest&)
{
    operations_.drain();
    return json(encodeStatus(operations_.status()));
}

HttpResponse OperatorApi::removeMember(const HttpRequest& request)
{
    const Result<MemberRemoval> removal = decodeRemoval(request.body);
    if (const Error* error = errorOf(removal))
        return errorResponse(*error);
    PendingAnswer<Done> pending;
    operations_.removeMember(*valueOf(removal), pending.callback());
    const Result<Done> done = pending.wait(decisionTimeout, decisionTimeoutError("removal"));
    if (const Error* error = errorOf(done))
        return errorResponse(*error);
    return json("{}");
}

HttpResponse OperatorApi::snapshot(const HttpRequest&)
{
    return json(encodeSnapshot(source_.snapshot()));
}

HttpResponse OperatorApi::metrics(const HttpRequest&)
{
    HttpResponse response = json(writer_(source_.snapshot()));
    response.contentType = "text/plain; version=0.0.4";
    return response;
}

} // namespace trefoilwing
