#pragma once

#include "Base/Error.h"
#include "Model/MinionMessages.h"
#include "Model/Units.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace trefoilwing {

/// A request as passed to handlers.
struct HttpRequest {
    std::string path;
    std::string body;
    std::map<std::string, std::string> query;
    /// Text matched by each group of the route's pattern, in order.
    std::vector<std::string> captures;
};

/// A response as returned by handlers.
struct HttpResponse {
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::map<std::string, std::string> headers;
};

enum class HttpMethod {
    Get,
    Post,
    Delete,
};

/// Limits of a server.
struct HttpServerOptions {
    /// Maximum number of connections served at once; each occupies one thread while it is open.
    uint32_t maxConnections = 256;
    Bytes maxBody { 64U << 20U };
};

/// An HTTP server on one address, built on cpp-httplib. All routes must be registered before start().
class HttpServer {
public:
    using Handler = std::function<HttpResponse(const HttpRequest&)>;

    explicit HttpServer(const HttpServerOptions&);
    ~HttpServer();

    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// @param pattern a regular expression that must match the whole path.
    void route(HttpMethod, const std::string& pattern, Handler);

    /// Binds the address and serves requests on the server's own threads.
    /// @return an error that names the address if it can't be bound.
    Result<Done> start(const Endpoint&);

    /// @return the bound port, also if the endpoint had port 0 (any free port).
    uint16_t port() const { return port_; }

    /// Stops accepting connections, completes the requests in progress, and joins the threads.
    void stop();

private:
    struct Impl;

    std::unique_ptr<Impl> impl_;
    uint16_t port_ = 0;
};

} // namespace trefoilwing
