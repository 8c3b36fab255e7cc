#pragma once

#include "Adapters/Beast/HttpLoop.h"
#include "Adapters/Beast/WebMessage.h"
#include "Base/StallFreeTime.h"
#include "Model/MinionMessages.h"

#include <absl/time/time.h>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <variant>

namespace trefoilwing {

/// Why a call has no response.
enum class HttpFailure {
    /// Nothing of it left this process.
    NotSent,
    /// It may have arrived.
    NoAnswer,
};

using HttpResult = std::variant<WebResponse, HttpFailure>;

struct HttpClientOptions {
    /// Connections to one address at most; calls beyond it wait for one.
    size_t maxConnections = 6;
    /// Connections that are kept when they are idle.
    size_t maxIdle = 3;
    /// An idle connection is kept for so long; beyond it the other side may have dropped it silently.
    absl::Duration idleLife = absl::Seconds(10);
};

/// Totals of a client, for logs and metrics.
struct HttpClientTotals {
    uint64_t connects = 0;
    /// Calls that were given up without a byte of a response.
    uint64_t unanswered = 0;
    /// Calls whose time was over, but whose response had arrived and waited to be read.
    uint64_t unread = 0;
    /// How late the loop ran its timer, at the worst since the totals were last taken.
    absl::Duration worstLateness;
};

/// Calls HTTP/1.1 servers over connections that are kept and used again.
///
/// A connection on which a call got no response in time is closed: bytes on it may be lost for good.
class HttpClient {
public:
    using Callback = std::function<void(HttpResult)>;

    HttpClient(HttpLoop&, HttpClientOptions);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// @param timeout from when the request is sent; time in which the loop didn't run doesn't count.
    /// @param done is called once, on the loop's thread.
    void call(const Endpoint&, WebRequest, absl::Duration timeout, Callback done);

    /// @return the totals so far; may be called from any thread.
    HttpClientTotals takeTotals();

private:
    class Connection;
    struct Call;
    struct Pool;

    void startCall(const Endpoint&, std::shared_ptr<Call>);
    void released(const std::shared_ptr<Connection>&, bool isReusable);
    /// Ends calls whose time is over. One timer serves all of them, as setting one for each costs a system call.
    void sweepLater();
    void sweep();

    HttpLoop& loop_;
    const HttpClientOptions options_;
    /// Used on the loop's thread only.
    std::map<Endpoint, Pool> pools_;
    size_t busy_ = 0;
    std::unique_ptr<boost::asio::steady_timer> sweepTimer_;
    StallFreeTime running_;
    bool isSweeping_ = false;
    std::atomic<uint64_t> connects_ { 0 };
    std::atomic<uint64_t> unanswered_ { 0 };
    std::atomic<uint64_t> unread_ { 0 };
    std::atomic<int64_t> worstLatenessNs_ { 0 };
};

} // namespace trefoilwing
