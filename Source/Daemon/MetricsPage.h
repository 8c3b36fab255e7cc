#pragma once

#include "Adapters/Beast/HttpListener.h"
#include "Adapters/Histogram/HistogramMetrics.h"
#include "Model/FleetSettings.h"

namespace trefoilwing {

/// Serves the metrics of a fleet's process in the text format of Prometheus.
class MetricsPage {
public:
    /// @param loop, metrics must outlive the page.
    MetricsPage(HttpLoop& loop, HistogramMetrics& metrics, std::shared_ptr<ConnectionGuard>);

    /// Starts listening at the metrics port of the settings, if they name one.
    Result<Done> listen(const FleetSettings&);

private:
    HttpListener listener_;
};

} // namespace trefoilwing
