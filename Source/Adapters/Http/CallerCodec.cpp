#include "Adapters/Http/CallerCodec.h"

#include "Adapters/Json/JsonFields.h"
#include "Adapters/Json/JsonMembers.h"

#include <limits>

namespace trefoilwing {

namespace {

    constexpr size_t maxTasks = 100'000;
    constexpr size_t maxPayloadBytes = 16U << 20U;
    constexpr uint64_t maxTimeoutMs = 24ULL * 3600 * 1000;
    constexpr uint64_t maxDeadlineMs = uint64_t { 1 } << 50U;

    absl::Time decodeDeadline(const JsonFields& fields, absl::Time now)
    {
        if (fields.has("deadline_ms"))
            return absl::FromUnixMillis(static_cast<int64_t>(fields.number("deadline_ms", 0, maxDeadlineMs)));
        if (fields.has("timeout_ms"))
            return now + absl::Milliseconds(fields.number("timeout_ms", 0, maxTimeoutMs));
        return absl::InfiniteFuture();
    }

    TaskSpec decodeTask(const JsonFields& fields)
    {
        return { fields.id<TaskKindId>("kind"), fields.has("payload") ? fields.anyText("payload", maxPayloadBytes) : std::string() };
    }

} // namespace

Result<Submission> CallerCodec::decodeSubmission(const std::string& body, absl::Time now)
{
    const JsonFields fields = JsonFields::parse(body);
    Submission submission;
    submission.id = { fields.id<ServiceId>("service"), fields.id<BackerId>("backer"), fields.id<CallerKey>("id") };
    submission.deadline = decodeDeadline(fields, now);
    for (const JsonFields& task : fields.list("tasks", maxTasks))
        submission.tasks.push_back(decodeTask(task));
    return fields.finish(std::move(submission));
}

Result<Submission> CallerCodec::decodeRequest(const std::string& body, absl::Time now)
{
    const JsonFields fields = JsonFields::parse(body);
    Submission submission;
    submission.id = { fields.id<ServiceId>("service"), fields.id<BackerId>("backer"), {} };
    if (fields.has("id"))
        submission.id.key = fields.id<CallerKey>("id");
    submission.deadline = decodeDeadline(fields, now);
    submission.isIdempotent = fields.optionalFlag("idempotent");
    submission.tasks.push_back(decodeTask(fields));
    return fields.finish(std::move(submission));
}

std::string CallerCodec::encodeState(const SubmissionState& state)
{
    if (std::holds_alternative<StillRunning>(state))
        return R"({"status":"running"})";
    if (const auto* answer = std::get_if<JobAnswer>(&state))
        return jsonText({ { "status", "complete" }, { "outputs", answer->outputs } });
    const Error& error = std::get<Error>(state);
    return jsonText({ { "status", "failed" },
        { "error", { { "code", errorCodeName(error.code) }, { "message", error.message }, { "verdict", verdictName(error.verdict) } } } });
}

std::string CallerCodec::encodeAnswer(const JobAnswer& answer)
{
    return jsonText({ { "output", answer.outputs.empty() ? std::string() : answer.outputs.front() }, { "verdict", verdictName(Verdict::Ran) } });
}

} // namespace trefoilwing
