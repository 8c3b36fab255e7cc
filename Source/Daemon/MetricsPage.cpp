#include "Daemon/MetricsPage.h"

#include "Adapters/Histogram/PrometheusText.h"

#include <utility>

namespace trefoilwing {

namespace {

    /// Maximum size of a request's body in bytes, as for callers. The page ignores the body.
    constexpr uint64_t maxBody = 256U << 10U;
    /// Maximum number of connections, enough for a few collectors and people.
    constexpr size_t maxSessions = 16;

} // namespace

MetricsPage::MetricsPage(HttpLoop& loop, HistogramMetrics& metrics, std::shared_ptr<ConnectionGuard> guard)
    : listener_(
        loop, [&metrics](const HttpExchangePtr& exchange) { exchange->respond({ 200, { { "Content-Type", "text/plain" } }, prometheusText(metrics.snapshot()) }); }, { Bytes(maxBody), maxSessions, std::move(guard), "metrics" })
{
}

Result<Done> MetricsPage::listen(const FleetSettings& settings)
{
    if (settings.metricsPort == 0)
        return Done {};
    return listener_.listen({ settings.address, static_cast<uint16_t>(settings.metricsPort) });
}

} // namespace trefoilwing
