#pragma once

#include "Adapters/Http/HttpServer.h"
#include "Ports/Metrics.h"
#include "Ports/Operations.h"

#include <functional>
#include <string>

namespace trefoilwing {

/// The HTTP API for operators: status, configuration, drain, members and metrics.
class OperatorApi {
public:
    /// Formats a snapshot for a monitoring system.
    using SnapshotWriter = std::function<std::string(const MetricsSnapshot&)>;

    /// The operations and the source must outlive the server.
    /// @param writer formats the body of GET /metrics.
    OperatorApi(Operations& operations, const MetricsSource& source, SnapshotWriter writer);

    /// Adds the routes that docs/PROTOCOLS.md lists. The object must outlive the server.
    void addRoutes(HttpServer&);

private:
    HttpResponse status(const HttpRequest&);
    HttpResponse configuration(const HttpRequest&);
    HttpResponse publish(const HttpRequest&);
    HttpResponse drain(const HttpRequest&);
    HttpResponse removeMember(const HttpRequest&);
    HttpResponse metrics(const HttpRequest&);
    HttpResponse snapshot(const HttpRequest&);

    Operations& operations_;
    const MetricsSource& source_;
    SnapshotWriter writer_;
};

} // namespace trefoilwing
