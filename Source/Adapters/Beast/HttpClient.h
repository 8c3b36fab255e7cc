#pragma once

#include "Adapters/Beast/HttpLoop.h"
#include "Adapters/Beast/WebMessage.h"
#include "Base/StallFreeTime.h"
#include "Model/MinionMessages.h"
#include "Model/Units.h"

#include <absl/time/time.h>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <variant>

namespace trefoilwing {

/// Why a call failed without a response.
enum class HttpFailure {
    /// No byte of the request was sent.
    NotSent,
    /// The request may have reached the server.
    NoAnswer,
};

using HttpResult = std::variant<WebResponse, HttpFailure>;

struct HttpClientOptions {
    /// Maximum number of connections to one address; further calls wait for a free one.
    size_t maxConnections = 6;
    /// Maximum number of idle connections kept for each address.
    size_t maxIdle = 3;
    /// Idle connections older than this aren't reused, since the server may have dropped them silently.
    absl::Duration idleTimeout = absl::Seconds(10);
    /// Maximum size of a response's body.
    Bytes maxBody { 8U << 20U };
    /// Maximum number of bytes of all responses that are being received together. A call whose response exceeds it fails.
    Bytes maxHeld { 1U << 30U };
};

/// Totals of a client, for logs and metrics.
struct HttpClientTotals {
    uint64_t connects = 0;
    /// Calls that timed out without a byte of a response.
    uint64_t unanswered = 0;
    /// Calls found past their deadline whose response had arrived but wasn't read yet; they aren't failed.
    uint64_t unread = 0;
    /// Calls whose response was malformed or exceeded a limit.
    uint64_t refused = 0;
    /// Greatest delay of the loop's timer since the totals were last taken.
    absl::Duration worstLateness;
};

/// An HTTP/1.1 client that pools persistent connections by address.
///
/// A connection whose call timed out is closed, since bytes on it may be lost for good.
class HttpClient {
public:
    using Callback = std::function<void(HttpResult)>;

    HttpClient(HttpLoop&, HttpClientOptions);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// @param timeout counts from sending the request; time in which the loop was stalled is excluded.
    /// @param done called once, on the loop's thread.
    void call(const Endpoint&, WebRequest, absl::Duration timeout, Callback done);

    /// Resets the greatest delay. May be called from any thread.
    /// @return the totals so far.
    HttpClientTotals takeTotals();

private:
    class Connection;
    struct Call;
    struct Pool;

    void startCall(const Endpoint&, std::shared_ptr<Call>);
    void releaseConnection(const std::shared_ptr<Connection>&, bool isReusable);
    /// Schedules the check for calls past their deadline. All calls share one timer, because a timer for each call
    /// would cost a system call.
    void scheduleSweep();
    void sweep();

    HttpLoop& loop_;
    const HttpClientOptions options_;
    /// Accessed on the loop's thread only.
    std::map<Endpoint, Pool> pools_;
    size_t busy_ = 0;
    std::unique_ptr<boost::asio::steady_timer> sweepTimer_;
    StallFreeTime stallFreeTime_;
    bool isSweeping_ = false;
    /// Number of bytes of all responses that are being received.
    uint64_t held_ = 0;
    std::atomic<uint64_t> connects_ { 0 };
    std::atomic<uint64_t> unanswered_ { 0 };
    std::atomic<uint64_t> unread_ { 0 };
    std::atomic<uint64_t> refused_ { 0 };
    std::atomic<int64_t> worstLatenessNs_ { 0 };
};

} // namespace trefoilwing
