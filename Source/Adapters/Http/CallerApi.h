#pragma once

#include "Adapters/Http/HttpServer.h"
#include "Ports/CallerOperations.h"
#include "Ports/Clock.h"

#include <atomic>
#include <functional>

namespace trefoilwing {

/// The HTTP API for callers: requests, submissions and their outcomes.
///
/// cpp-httplib dedicates a thread to each open connection. A long poll blocks only its own thread, until the
/// outcome arrives or the wait time ends. The number of threads that wait for outcomes is limited, to keep some free.
class CallerApi {
public:
    /// @param maxWaiters maximum number of requests and polls that wait at once. Beyond it requests are rejected as
    /// overloaded and polls are answered immediately.
    CallerApi(CallerOperations&, const Clock&, uint32_t maxWaiters);

    /// Adds the routes under /v1/requests and /v1/submissions. The object must outlive the server.
    void addRoutes(HttpServer&);

private:
    using AsyncOperation = std::function<void(CallerOperations::StateCallback)>;

    HttpResponse postRequest(const HttpRequest&);
    HttpResponse postSubmission(const HttpRequest&);
    HttpResponse getSubmission(const HttpRequest&);
    HttpResponse deleteSubmission(const HttpRequest&);

    HttpResponse answerRequest(const Submission&);
    /// Starts the operation and blocks the connection's thread until the answer arrives or the timeout ends.
    SubmissionState await(const AsyncOperation&, absl::Duration timeout, const Error& onTimeout);
    static SubmissionKey keyOf(const HttpRequest&);

    CallerOperations& operations_;
    const Clock& clock_;
    const uint32_t maxWaiters_;
    std::atomic<uint32_t> waiters_ { 0 };
};

} // namespace trefoilwing
