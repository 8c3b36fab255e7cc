#include "Fleet/FleetCaller.h"

#include <nlohmann/json.hpp>

#include <future>

namespace trefoilwing {

namespace {

    constexpr absl::Duration callTimeout = absl::Seconds(4);
    constexpr absl::Duration jobTimeout = absl::Seconds(8);
    constexpr size_t connectionLimit = 300;

} // namespace

FleetCaller::FleetCaller()
    : client_(loop_, { connectionLimit, connectionLimit, absl::Seconds(10) })
{
    loop_.start();
}

FleetCaller::~FleetCaller()
{
    loop_.stop();
}

WebResponse FleetCaller::call(const Endpoint& endpoint, const std::string& method, const std::string& path, const std::string& body)
{
    std::promise<WebResponse> promise;
    client_.call(endpoint, { method, path, "jobs.example", {}, body }, callTimeout, [&](const HttpResult& result) {
        const auto* response = std::get_if<WebResponse>(&result);
        promise.set_value(response ? *response : WebResponse { 0, {}, {} });
    });
    return promise.get_future().get();
}

void FleetCaller::submit(const Endpoint& entry, const std::string& id, int tasks, int milliseconds, HttpClient::Callback done)
{
    const nlohmann::json body { { "spec", "text" }, { "best_effort", true },
        { "steps", { { { "count", tasks }, { "cpu", 4000 }, { "mem_mb", 64 }, { "estimated_ms", milliseconds } } } } };
    WebRequest request { "POST", "/work/" + id, "jobs.example", { { "X-Trefoilwing-Deadline-Ms", "6000" } }, body.dump() };
    client_.call(entry, std::move(request), jobTimeout, std::move(done));
}

std::string FleetCaller::configuration(int version)
{
    const nlohmann::json body { { "version", version },
        { "routes", { { { "name", "r1" }, { "host", "jobs.example" }, { "path_prefix", "/work/" }, { "kind", "non_idempotent" }, { "timeout_ms", 1500 }, { "target_latency_ms", 2000 }, { "priority", 0 }, { "service", "work" }, { "max_attempts", 4 }, { "stretch", 10 } } } },
        { "services", { { { "name", "work" }, { "admission_check", true } } } } };
    return body.dump();
}

} // namespace trefoilwing
