#include "Ctl/HttpOperatorLink.h"

#include "Adapters/Http/OperatorCodec.h"
#include "Adapters/Yaml/YamlValues.h"

#include <absl/strings/str_cat.h>

namespace trefoilwing {

namespace {

    // The read timeout is longer than a daemon waits for a decision, so that its answer arrives before the timeout.
    constexpr HttpTimeouts timeouts { absl::Seconds(1), absl::Seconds(8) };

} // namespace

HttpOperatorLink::HttpOperatorLink(const Endpoint& endpoint)
    : address_(formatEndpoint(endpoint))
    , connection_(endpoint, timeouts)
{
}

Result<std::string> HttpOperatorLink::bodyOf(const PostOutcome& outcome) const
{
    if (std::holds_alternative<NotConnected>(outcome))
        return Error { ErrorCode::Lost, absl::StrCat(address_, ": cannot connect; check that the daemon is running"), Verdict::NotRun };
    const auto* answer = std::get_if<HttpAnswer>(&outcome);
    if (!answer)
        return Error { ErrorCode::Lost, absl::StrCat(address_, ": the daemon didn't answer; check its state before repeating the command"), Verdict::MayHaveRun };
    if (answer->status == 200)
        return answer->body;
    Error error = decodeError(answer->status, answer->body);
    error.message = absl::StrCat(address_, ": ", error.message);
    return error;
}

template <typename T>
Result<T> HttpOperatorLink::decode(const PostOutcome& outcome, Result<T> (*decoder)(const std::string&)) const
{
    const Result<std::string> body = bodyOf(outcome);
    if (const Error* error = errorOf(body))
        return *error;
    return decoder(*valueOf(body));
}

Result<DaemonStatus> HttpOperatorLink::status()
{
    return decode(connection_.get("/v1/status"), decodeStatus);
}

Result<Configuration> HttpOperatorLink::configuration()
{
    return decode(connection_.get("/v1/configuration"), decodeConfiguration);
}

Result<MetricsSnapshot> HttpOperatorLink::metrics()
{
    return decode(connection_.get("/v1/metrics"), decodeSnapshot);
}

Result<ConfigurationVersion> HttpOperatorLink::publish(const PublishRecord& record)
{
    return decode(connection_.post("/v1/configuration", encodePublish(record)), decodeVersion);
}

Result<DaemonStatus> HttpOperatorLink::drain()
{
    return decode(connection_.post("/v1/drain", "{}"), decodeStatus);
}

Result<Done> HttpOperatorLink::removeMember(const MemberRemoval& removal)
{
    const Result<std::string> body = bodyOf(connection_.post("/v1/members", encodeRemoval(removal)));
    if (const Error* error = errorOf(body))
        return *error;
    return Done {};
}

} // namespace trefoilwing
