#pragma once

#include "Adapters/Beast/HttpListener.h"
#include "Adapters/Histogram/HistogramMetrics.h"
#include "Model/FleetSettings.h"

namespace trefoilwing {

/// Serves a process's metrics in Prometheus' text format.
class MetricsPage {
public:
    /// @param loop, metrics must outlive the page.
    MetricsPage(HttpLoop& loop, HistogramMetrics& metrics);

    /// Listens where the settings say; without a port there it serves nothing.
    Result<Done> listen(const FleetSettings&);

private:
    HttpListener listener_;
};

} // namespace trefoilwing
