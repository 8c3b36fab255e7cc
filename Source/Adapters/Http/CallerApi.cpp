#include "Adapters/Http/CallerApi.h"

#include "Adapters/Http/CallerCodec.h"
#include "Adapters/Http/ErrorResponse.h"
#include "Adapters/Http/PendingAnswer.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace trefoilwing {

namespace {

    constexpr int acceptedStatus = 202;
    constexpr absl::Duration maxWaitTime = absl::Seconds(25);
    /// Time allowed after the wait time or the deadline for the answer to arrive; then the thread stops waiting.
    constexpr absl::Duration responseMargin = absl::Seconds(3);
    constexpr absl::Duration submitTimeout = absl::Seconds(10);
    constexpr absl::Duration maxRequestTime = absl::Seconds(120);
    /// A request with an id polls for its outcome again after this time for as long as it is still running.
    constexpr absl::Duration outcomePollTimeout = absl::Seconds(20);

    const Error unansweredError { ErrorCode::Unavailable, "No answer came in time; it may have been taken.", Verdict::MayHaveRun };

    HttpResponse stateResponse(const SubmissionState& state)
    {
        HttpResponse response;
        response.status = std::holds_alternative<StillRunning>(state) ? acceptedStatus : 200;
        response.body = CallerCodec::encodeState(state);
        return response;
    }

    absl::Duration waitTimeOf(const HttpRequest& request)
    {
        const auto found = request.query.find("wait_ms");
        int64_t milliseconds = 0;
        if (found == request.query.end() || !absl::SimpleAtoi(found->second, &milliseconds))
            return absl::ZeroDuration();
        return std::clamp(absl::Milliseconds(milliseconds), absl::ZeroDuration(), maxWaitTime);
    }

    /// Counts the thread as a waiter while in scope and tells whether the limit on waiters allows it.
    class WaiterGuard {
    public:
        WaiterGuard(std::atomic<uint32_t>& waiters, uint32_t limit)
            : waiters_(waiters)
            , isAllowed_(++waiters <= limit)
        {
        }
        ~WaiterGuard() { --waiters_; }
        WaiterGuard(const WaiterGuard&) = delete;
        WaiterGuard& operator=(const WaiterGuard&) = delete;

        bool isAllowed() const { return isAllowed_; }

    private:
        std::atomic<uint32_t>& waiters_;
        bool isAllowed_;
    };

} // namespace

CallerApi::CallerApi(CallerOperations& operations, const Clock& clock, uint32_t maxWaiters)
    : operations_(operations)
    , clock_(clock)
    , maxWaiters_(maxWaiters)
{
}

void CallerApi::addRoutes(HttpServer& server)
{
    static constexpr char onePath[] = "/v1/submissions/([^/]+)/([^/]+)/([^/]+)";
    server.route(HttpMethod::Post, "/v1/requests", [this](const HttpRequest& request) { return postRequest(request); });
    server.route(HttpMethod::Post, "/v1/submissions", [this](const HttpRequest& request) { return postSubmission(request); });
    server.route(HttpMethod::Get, onePath, [this](const HttpRequest& request) { return getSubmission(request); });
    server.route(HttpMethod::Delete, onePath, [this](const HttpRequest& request) { return deleteSubmission(request); });
}

HttpResponse CallerApi::postRequest(const HttpRequest& request)
{
    Result<Submission> decoded = CallerCodec::decodeRequest(request.body, clock_.now());
    if (const Error* error = errorOf(decoded))
        return errorResponse(*error);
    const WaiterGuard waiter(waiters_, maxWaiters_);
    if (!waiter.isAllowed())
        return errorResponse(Error { ErrorCode::Overloaded, "Too many requests wait at this entry; try again or use another entry.", Verdict::NotRun });
    return answerRequest(std::get<Submission>(std::move(decoded)));
}

HttpResponse CallerApi::answerRequest(const Submission& submission)
{
    const absl::Time deadline = std::min(submission.deadline, clock_.now() + maxRequestTime) + responseMargin;
    SubmissionState state;
    if (submission.id.key.value().empty()) {
        Submission withKey = submission;
        withKey.id.key = operations_.nextRequestKey();
        state = await([&](auto done) { operations_.request(withKey, std::move(done)); }, deadline - clock_.now(), unansweredError);
    } else {
        state = await([&](auto done) { operations_.submit(submission, std::move(done)); }, submitTimeout, unansweredError);
        while (std::holds_alternative<StillRunning>(state) && clock_.now() < deadline)
            state = await([&](auto done) { operations_.awaitOutcome(submission.id, outcomePollTimeout, std::move(done)); }, outcomePollTimeout + responseMargin, unansweredError);
    }
    if (const auto* answer = std::get_if<JobAnswer>(&state)) {
        HttpResponse response;
        response.body = CallerCodec::encodeAnswer(*answer);
        return response;
    }
    const Error* error = std::get_if<Error>(&state);
    return errorResponse(error ? *error : unansweredError);
}

HttpResponse CallerApi::postSubmission(const HttpRequest& request)
{
    const Result<Submission> decoded = CallerCodec::decodeSubmission(request.body, clock_.now());
    if (const Error* error = errorOf(decoded))
        return errorResponse(*error);
    const SubmissionState state = await([&](auto done) { operations_.submit(*valueOf(decoded), std::move(done)); }, submitTimeout, unansweredError);
    if (const Error* error = std::get_if<Error>(&state))
        return errorResponse(*error);
    return stateResponse(state);
}

HttpResponse CallerApi::getSubmission(const HttpRequest& request)
{
    const SubmissionKey key = keyOf(request);
    const WaiterGuard waiter(waiters_, maxWaiters_);
    const absl::Duration waitTime = waiter.isAllowed() ? waitTimeOf(request) : absl::ZeroDuration();
    const SubmissionState state = await([&](auto done) { operations_.awaitOutcome(key, waitTime, std::move(done)); }, waitTime + responseMargin, unansweredError);
    const Error* error = std::get_if<Error>(&state);
    const bool isUnknown = error && (error->code == ErrorCode::UnknownSubmission || error->code == ErrorCode::UnknownService || error->code == ErrorCode::UnknownBacker);
    return isUnknown ? errorResponse(*error) : stateResponse(state);
}

HttpResponse CallerApi::deleteSubmission(const HttpRequest& request)
{
    const SubmissionKey key = keyOf(request);
    return stateResponse(await([&](auto done) { operations_.cancel(key, std::move(done)); }, submitTimeout, unansweredError));
}

SubmissionState CallerApi::await(const AsyncOperation& operation, absl::Duration timeout, const Error& onTimeout)
{
    PendingAnswer<SubmissionState> pending;
    operation([answer = pending.callback()](const SubmissionState& state) { answer(state); });
    const Result<SubmissionState> state = pending.wait(timeout, onTimeout);
    if (const Error* error = errorOf(state))
        return *error;
    return *valueOf(state);
}

SubmissionKey CallerApi::keyOf(const HttpRequest& request)
{
    return { ServiceId(request.captures.at(0)), BackerId(request.captures.at(1)), CallerKey(request.captures.at(2)) };
}

} // namespace trefoilwing
