#pragma once

#include "Adapters/Http/HttpServer.h"
#include "Ports/CallerOperations.h"
#include "Ports/Clock.h"

#include <atomic>
#include <functional>

namespace trefoilwing {

/// Serves callers: requests, submissions and their outcomes.
///
/// cpp-httplib lends a thread to each open connection. A long poll parks that thread, and only that one,
/// until the outcome or its patience comes; parked threads are bounded, so that others always find one.
class CallerApi {
public:
    /// @param maxParked how many polls may be held back at once; beyond it polls are answered at once.
    CallerApi(CallerOperations&, const Clock&, uint32_t maxParked);

    /// Adds the routes under /v1/requests and /v1/submissions. The object must outlive the server.
    void addRoutes(HttpServer&);

private:
    using Ask = std::function<void(CallerOperations::StateCallback)>;

    HttpResponse postRequest(const HttpRequest&);
    HttpResponse postSubmission(const HttpRequest&);
    HttpResponse getSubmission(const HttpRequest&);
    HttpResponse deleteSubmission(const HttpRequest&);

    HttpResponse answerRequest(const Submission&);
    /// Asks the desk and parks the connection's thread until the answer or the limit.
    SubmissionState await(const Ask&, absl::Duration limit, const Error& onTimeout);
    static SubmissionKey keyOf(const HttpRequest&);

    CallerOperations& desk_;
    const Clock& clock_;
    const uint32_t maxParked_;
    std::atomic<uint32_t> parked_ { 0 };
};

} // namespace trefoilwing
