#include "Daemon/MetricsPage.h"

#include "Adapters/Histogram/PrometheusText.h"

namespace trefoilwing {

namespace {

    /// The page takes no body; this is what a caller's request may have, too.
    constexpr uint64_t maxBody = 256U << 10U;
    /// A few collectors and people look at it.
    constexpr size_t maxSessions = 16;

} // namespace

MetricsPage::MetricsPage(HttpLoop& loop, HistogramMetrics& metrics)
    : listener_(
        loop, [&metrics](const HttpExchangePtr& exchange) { exchange->respond({ 200, { { "Content-Type", "text/plain" } }, prometheusText(metrics.snapshot()) }); }, { Bytes(maxBody), maxSessions })
{
}

Result<Done> MetricsPage::listen(const FleetSettings& settings)
{
    if (settings.metricsPort == 0)
        return Done {};
    return listener_.listen({ settings.address, static_cast<uint16_t>(settings.metricsPort) });
}

} // namespace trefoilwing
