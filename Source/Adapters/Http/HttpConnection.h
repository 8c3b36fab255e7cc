#pragma once

#include "Model/MinionMessages.h"

#include <absl/time/time.h>

#include <memory>
#include <string>
#include <variant>

namespace trefoilwing {

/// Time limits of one post.
struct HttpTimeouts {
    absl::Duration connect = absl::Milliseconds(300);
    absl::Duration answer = absl::Seconds(1);
};

/// The connection could not be made, so nothing was sent.
struct NotConnected { };

/// The request may have been taken, but its answer was lost.
struct NoAnswer { };

struct HttpAnswer {
    int status = 0;
    std::string body;
};

using PostOutcome = std::variant<HttpAnswer, NotConnected, NoAnswer>;

/// One kept-alive connection to one server, used by one thread at a time.
class HttpConnection {
public:
    HttpConnection(const Endpoint&, const HttpTimeouts&);
    ~HttpConnection();

    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    /// Posts a JSON body and waits for the answer within the time limits.
    PostOutcome post(const std::string& path, const std::string& body);

    /// Gets a path and waits for the answer within the time limits.
    PostOutcome get(const std::string& path);

private:
    struct Library;

    void closeIfIdle();

    std::unique_ptr<Library> library_;
    absl::Time lastUse_ = absl::InfinitePast();
};

} // namespace trefoilwing
