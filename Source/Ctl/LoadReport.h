#pragma once

#include "Base/Error.h"
#include "Ctl/LoadPlan.h"

#include <optional>
#include <ostream>
#include <vector>

namespace trefoilwing {

/// The outcome of one item of a load.
struct LoadResult {
    const LoadItem* item = nullptr;
    /// Measured from the planned arrival, not from the sending: otherwise a delayed sender would hide waiting time
    /// (coordinated omission).
    absl::Duration response;
    std::optional<Error> error;
};

/// Writes the percentiles of response times, the share of requests within their objective, the response time
/// relative to the ideal, and the failures.
void writeLoadReport(const std::vector<LoadResult>&, std::ostream&);

} // namespace trefoilwing
