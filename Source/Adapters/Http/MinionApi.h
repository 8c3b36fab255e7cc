#pragma once

#include "Adapters/Http/HttpServer.h"
#include "Ports/MinionSink.h"

namespace trefoilwing {

/// The HTTP API for minions: receives their announcements and results.
class MinionApi {
public:
    /// @param sink receives the decoded messages; it must outlive the server.
    explicit MinionApi(MinionSink& sink)
        : sink_(sink)
    {
    }

    /// Adds POST /v1/minions/announce and POST /v1/results. The object must outlive the server.
    void addRoutes(HttpServer&);

private:
    HttpResponse announce(const HttpRequest&);
    HttpResponse postResults(const HttpRequest&);

    MinionSink& sink_;
};

} // namespace trefoilwing
