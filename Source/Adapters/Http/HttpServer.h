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

/// A request as handlers see it.
struct HttpRequest {
    std::string path;
    std::string body;
    std::map<std::string, std::string> query;
    /// What the groups of the route's pattern matched, in order.
    std::vector<std::string> captures;
};

/// An answer as handlers give it.
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
    /// Connections served at once; each holds one thread while it is open.
    uint32_t maxConnections = 256;
    Bytes maxBody { 64U << 20U };
};

/// Serves HTTP on one address by cpp-httplib. Each kind of user registers its routes before start().
class HttpServer {
public:
    using Handler = std::function<HttpResponse(const HttpRequest&)>;

    explicit HttpServer(const HttpServerOptions&);
    ~HttpServer();

    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// @param pattern a regular expression over the whole path.
    void route(HttpMethod, const std::string& pattern, Handler);

    /// Begins to listen and serves from threads of its own.
    /// @return an error that names the address when it can't be bound.
    Result<Done> start(const Endpoint&);

    /// @return the port that was bound, also where the endpoint asked for any (port 0).
    uint16_t port() const { return port_; }

    /// Takes no new connections, finishes the requests in progress, and ends the threads.
    void stop();

private:
    struct Library;

    std::unique_ptr<Library> library_;
    uint16_t port_ = 0;
};

} // namespace trefoilwing
