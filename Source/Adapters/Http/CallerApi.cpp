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
    constexpr absl::Duration longestPatience = absl::Seconds(25);
    /// What the desk may take beyond the patience or the deadline before the thread is given back.
    constexpr absl::Duration answerAllowance = absl::Seconds(3);
    constexpr absl::Duration acceptLimit = absl::Seconds(10);
    constexpr absl::Duration longestRequest = absl::Seconds(120);
    /// How often a request with an id asks anew while it runs elsewhere.
    constexpr absl::Duration requestPatience = absl::Seconds(20);

    const Error unansweredError { ErrorCode::Unavailable, "No answer came in time; it may have been taken.", Verdict::MayHaveRun };

    HttpResponse stateResponse(const SubmissionState& state)
    {
        HttpResponse response;
        response.status = std::holds_alternative<StillRunning>(state) ? acceptedStatus : 200;
        response.body = CallerCodec::encodeState(state);
        return response;
    }

    absl::Duration patienceOf(const HttpRequest& request)
    {
        const auto found = request.query.find("wait_ms");
        int64_t milliseconds = 0;
        if (found == request.query.end() || !absl::SimpleAtoi(found->second, &milliseconds))
            return absl::ZeroDuration();
        return std::clamp(absl::Milliseconds(milliseconds), absl::ZeroDuration(), longestPatience);
    }

    /// Counts a parked thread for the life of a scope.
    class Parking {
    public:
        Parking(std::atomic<uint32_t>& parked, uint32_t limit)
            : parked_(parked)
            , isAllowed_(++parked <= limit)
        {
        }
        ~Parking() { --parked_; }
        Parking(const Parking&) = delete;
        Parking& operator=(const Parking&) = delete;

        bool isAllowed() const { return isAllowed_; }

    private:
        std::atomic<uint32_t>& parked_;
        bool isAllowed_;
    };

} // namespace

CallerApi::CallerApi(CallerOperations& desk, const Clock& clock, uint32_t maxParked)
    : desk_(desk)
    , clock_(clock)
    , maxParked_(maxParked)
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
    const Parking parking(parked_, maxParked_);
    if (!parking.isAllowed())
        return errorResponse(Error { ErrorCode::Overloaded, "Too many requests wait at this entry; try again or use another entry.", Verdict::NotRun });
    return answerRequest(std::get<Submission>(std::move(decoded)));
}

HttpResponse CallerApi::answerRequest(const Submission& submission)
{
    const absl::Time end = std::min(submission.deadline, clock_.now() + longestRequest) + answerAllowance;
    SubmissionState state;
    if (submission.id.key.value().empty()) {
        Submission named = submission;
        named.id.key = desk_.nextRequestKey();
        state = await([&](auto done) { desk_.request(named, std::move(done)); }, end - clock_.now(), unansweredError);
    } else {
        state = await([&](auto done) { desk_.submit(submission, std::move(done)); }, acceptLimit, unansweredError);
        while (std::holds_alternative<StillRunning>(state) && clock_.now() < end)
            state = await([&](auto done) { desk_.awaitOutcome(submission.id, requestPatience, std::move(done)); }, requestPatience + answerAllowance, unansweredError);
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
    const SubmissionState state = await([&](auto done) { desk_.submit(*valueOf(decoded), std::move(done)); }, acceptLimit, unansweredError);
    if (const Error* error = std::get_if<Error>(&state))
        return errorResponse(*error);
    return stateResponse(state);
}

HttpResponse CallerApi::getSubmission(const HttpRequest& request)
{
    const SubmissionKey key = keyOf(request);
    const Parking parking(parked_, maxParked_);
    const absl::Duration patience = parking.isAllowed() ? patienceOf(request) : absl::ZeroDuration();
    const SubmissionState state = await([&](auto done) { desk_.awaitOutcome(key, patience, std::move(done)); }, patience + answerAllowance, unansweredError);
    const Error* error = std::get_if<Error>(&state);
    const bool isUnknown = error && (error->code == ErrorCode::UnknownSubmission || error->code == ErrorCode::UnknownService || error->code == ErrorCode::UnknownBacker);
    return isUnknown ? errorResponse(*error) : stateResponse(state);
}

HttpResponse CallerApi::deleteSubmission(const HttpRequest& request)
{
    const SubmissionKey key = keyOf(request);
    return stateResponse(await([&](auto done) { desk_.cancel(key, std::move(done)); }, acceptLimit, unansweredError));
}

SubmissionState CallerApi::await(const Ask& ask, absl::Duration limit, const Error& onTimeout)
{
    PendingAnswer<SubmissionState> pending;
    ask([answer = pending.callback()](const SubmissionState& state) { answer(state); });
    const Result<SubmissionState> state = pending.wait(limit, onTimeout);
    if (const Error* error = errorOf(state))
        return *error;
    return *valueOf(state);
}

SubmissionKey CallerApi::keyOf(const HttpRequest& request)
{
    return { ServiceId(request.captures.at(0)), BackerId(request.captures.at(1)), CallerKey(request.captures.at(2)) };
}

} // namespace trefoilwing
