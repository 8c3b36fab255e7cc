#include "StandIns/Caller.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

namespace trefoilwing {

namespace {

    using nlohmann::json;

    constexpr HttpTimeouts callerTimeouts { absl::Seconds(2), absl::Seconds(150) };
    constexpr absl::Duration pollWait = absl::Seconds(2);
    constexpr absl::Duration pollInterval = absl::Milliseconds(100);

    std::string stringField(const json& object, const char* name)
    {
        return object.is_object() && object.contains(name) && object[name].is_string() ? object[name].get<std::string>() : std::string();
    }

    void readError(const json& body, CallerReply& reply)
    {
        if (!body.contains("error"))
            return;
        reply.state = "failed";
        reply.errorCode = stringField(body["error"], "code");
        reply.message = stringField(body["error"], "message");
        reply.verdict = stringField(body["error"], "verdict");
    }

    CallerReply toReply(const PostOutcome& outcome)
    {
        CallerReply reply;
        const auto* answer = std::get_if<HttpAnswer>(&outcome);
        if (!answer)
            return reply;
        reply.httpStatus = answer->status;
        const json body = json::parse(answer->body, nullptr, false);
        if (!body.is_object())
            return reply;
        reply.state = stringField(body, "status");
        if (body.contains("outputs"))
            reply.outputs = body["outputs"].get<std::vector<std::string>>();
        if (body.contains("output")) {
            reply.state = "complete";
            reply.outputs = { stringField(body, "output") };
        }
        readError(body, reply);
        return reply;
    }

    std::string payloadOf(const CallerJob& job, uint32_t index)
    {
        const json payload = {
            { "run_ms", absl::ToDoubleMilliseconds(job.runTime) },
            { "output", absl::StrCat("output-", index) },
            { "fail", job.fails },
        };
        return payload.dump();
    }

    json commonFields(const CallerJob& job)
    {
        return {
            { "service", job.id.service.value() },
            { "backer", job.id.backer.value() },
            { "timeout_ms", absl::ToInt64Milliseconds(job.timeout) },
        };
    }

} // namespace

CallerReply Caller::post(const Endpoint& entry, const std::string& path, const std::string& body)
{
    HttpConnection connection(entry, callerTimeouts);
    return toReply(connection.post(path, body));
}

CallerReply Caller::submit(const Endpoint& entry, const CallerJob& job)
{
    json body = commonFields(job);
    body["id"] = job.id.key.value();
    body["tasks"] = json::array();
    for (uint32_t index = 0; index < job.tasks.value(); ++index)
        body["tasks"].push_back({ { "kind", job.kind.value() }, { "payload", payloadOf(job, index) } });
    return post(entry, "/v1/submissions", body.dump());
}

CallerReply Caller::request(const Endpoint& entry, const CallerJob& job)
{
    json body = commonFields(job);
    if (!job.id.key.value().empty())
        body["id"] = job.id.key.value();
    body["kind"] = job.kind.value();
    body["payload"] = payloadOf(job, 0);
    body["idempotent"] = job.isIdempotent;
    return post(entry, "/v1/requests", body.dump());
}

CallerReply Caller::poll(const Endpoint& entry, const SubmissionKey& id, absl::Duration wait)
{
    HttpConnection connection(entry, callerTimeouts);
    return toReply(connection.get(absl::StrCat("/v1/submissions/", id.service.value(), "/", id.backer.value(), "/", id.key.value(),
        "?wait_ms=", absl::ToInt64Milliseconds(wait))));
}

CallerReply Caller::awaitOutcome(const std::vector<Endpoint>& entries, const SubmissionKey& id, absl::Duration maxWait)
{
    const absl::Time end = absl::Now() + maxWait;
    CallerReply reply;
    for (size_t turn = 0; absl::Now() < end; ++turn) {
        reply = poll(entries[turn % entries.size()], id, pollWait);
        if (reply.isDecided() && reply.errorCode != "unavailable")
            return reply;
        if (reply.httpStatus != 202)
            absl::SleepFor(pollInterval);
    }
    return reply;
}

bool Caller::isWholeAnswer(const CallerReply& reply, const CallerJob& job)
{
    if (!reply.isComplete() || reply.outputs.size() != job.tasks.value())
        return false;
    for (size_t index = 0; index < reply.outputs.size(); ++index) {
        if (reply.outputs[index] != absl::StrCat("output-", index))
            return false;
    }
    return true;
}

} // namespace trefoilwing
