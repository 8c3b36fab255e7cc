#include "Ctl/HttpCallerLink.h"

#include "Adapters/Http/OperatorCodec.h"
#include "Adapters/Json/JsonMembers.h"

#include <absl/strings/str_cat.h>

namespace trefoilwing {

namespace {

    using nlohmann::json;

    /// The read timeout is longer than an entry delays the answer to a long poll.
    constexpr HttpTimeouts timeouts { absl::Seconds(1), absl::Seconds(150) };
    constexpr int longPollMs = 20000;

    constexpr int okStatus = 200;
    constexpr int acceptedStatus = 202;

    Result<HttpAnswer> answerOf(const PostOutcome& outcome)
    {
        if (std::holds_alternative<NotConnected>(outcome))
            return Error { ErrorCode::Unavailable, "no connection", Verdict::NotRun };
        const auto* answer = std::get_if<HttpAnswer>(&outcome);
        if (!answer)
            return Error { ErrorCode::Lost, "no answer", Verdict::MayHaveRun };
        if (answer->status != okStatus && answer->status != acceptedStatus)
            return decodeError(answer->status, answer->body);
        return *answer;
    }

    bool isRunning(const std::string& body)
    {
        const Result<json> document = parseJson(body);
        return valueOf(document) && valueOf(document)->value("status", "") == "running";
    }

    /// @return the number of outputs of a submission that has ended, or its error.
    Result<size_t> outcomeOf(const std::string& body)
    {
        const Result<json> document = parseJson(body);
        if (const Error* error = errorOf(document))
            return *error;
        if (valueOf(document)->value("status", "") == "complete")
            return valueOf(document)->value("outputs", json::array()).size();
        return decodeError(okStatus, body);
    }

} // namespace

HttpCallerLink::HttpCallerLink(const Endpoint& endpoint)
    : connection_(endpoint, timeouts)
{
}

Result<size_t> HttpCallerLink::send(const LoadItem& item)
{
    return item.isJob ? sendJob(item) : sendRequest(item);
}

Result<size_t> HttpCallerLink::sendRequest(const LoadItem& item)
{
    const json body = {
        { "service", item.service },
        { "backer", item.backer },
        { "kind", item.kind },
        { "payload", item.payloads.front() },
        { "idempotent", item.isIdempotent },
        { "timeout_ms", absl::ToInt64Milliseconds(item.deadline) },
    };
    const Result<HttpAnswer> answer = answerOf(connection_.post("/v1/requests", jsonText(body)));
    if (const Error* error = errorOf(answer))
        return *error;
    return size_t { 1 };
}

Result<size_t> HttpCallerLink::sendJob(const LoadItem& item)
{
    json tasks = json::array();
    for (const std::string& payload : item.payloads)
        tasks.push_back({ { "kind", item.kind }, { "payload", payload } });
    const json body = {
        { "service", item.service },
        { "backer", item.backer },
        { "id", item.key },
        { "timeout_ms", absl::ToInt64Milliseconds(item.deadline) },
        { "tasks", std::move(tasks) },
    };
    const std::string poll = absl::StrCat("/v1/submissions/", item.service.value(), "/", item.backer.value(), "/", item.key.value(), "?wait_ms=", longPollMs);
    Result<HttpAnswer> answer = answerOf(connection_.post("/v1/submissions", jsonText(body)));
    while (valueOf(answer) && isRunning(valueOf(answer)->body))
        answer = answerOf(connection_.get(poll));
    if (const Error* error = errorOf(answer))
        return *error;
    return outcomeOf(valueOf(answer)->body);
}

} // namespace trefoilwing
