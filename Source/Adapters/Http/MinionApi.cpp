#include "Adapters/Http/MinionApi.h"

#include "Adapters/Http/ErrorResponse.h"
#include "Adapters/Http/MinionCodec.h"

namespace trefoilwing {

void MinionApi::addRoutes(HttpServer& server)
{
    server.route(HttpMethod::Post, "/v1/minions/announce", [this](const HttpRequest& request) { return announce(request); });
    server.route(HttpMethod::Post, "/v1/results", [this](const HttpRequest& request) { return postResults(request); });
}

HttpResponse MinionApi::announce(const HttpRequest& request)
{
    const Result<MinionAnnouncement> announcement = MinionCodec::decodeAnnouncement(request.body);
    if (const Error* error = errorOf(announcement))
        return errorResponse(*error);
    const Result<absl::Duration> lease = sink_.announced(*valueOf(announcement));
    if (const Error* error = errorOf(lease))
        return errorResponse(*error);
    HttpResponse response;
    response.body = MinionCodec::encodeLease(*valueOf(lease));
    // The loop of cpp-httplib, which HttpServer replaces, checks each idle connection 100 times a second, which costs
    // more than opening a new connection for each announcement. With either loop an idle connection occupies a thread.
    response.headers.emplace("Connection", "close");
    return response;
}

HttpResponse MinionApi::postResults(const HttpRequest& request)
{
    Result<ResultBatch> batch = MinionCodec::decodeResults(request.body);
    if (const Error* error = errorOf(batch))
        return errorResponse(*error);
    sink_.resultsPosted(std::get<ResultBatch>(std::move(batch)));
    HttpResponse response;
    response.body = "{}";
    return response;
}

} // namespace trefoilwing
