#pragma once

#include "Model/MinionMessages.h"

#include <absl/time/time.h>

#include <memory>
#include <string>
#include <variant>

namespace trefoilwing {

/// Timeouts of one request.
struct HttpTimeouts {
    absl::Duration connect = absl::Milliseconds(300);
    absl::Duration answer = absl::Seconds(1);
};

/// The connection couldn't be established, so nothing was sent.
struct NotConnected { };

/// The server may have received the request, but no answer arrived.
struct NoAnswer { };

struct HttpAnswer {
    int status = 0;
    std::string body;
};

using PostOutcome = std::variant<HttpAnswer, NotConnected, NoAnswer>;

/// A persistent connection to one server. Not thread-safe: one thread uses it at a time.
class HttpConnection {
public:
    HttpConnection(const Endpoint&, const HttpTimeouts&);
    ~HttpConnection();

    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    /// Posts a JSON body and waits for the answer within the timeouts.
    PostOutcome post(const std::string& path, const std::string& body);

    /// Gets a path and waits for the answer within the timeouts.
    PostOutcome get(const std::string& path);

private:
    struct Impl;

    void closeIfIdle();

    std::unique_ptr<Impl> impl_;
    absl::Time lastUse_ = absl::InfinitePast();
};

} // namespace trefoilwing
