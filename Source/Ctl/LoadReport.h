#pragma once

#include "Base/Error.h"
#include "Ctl/LoadPlan.h"

#include <optional>
#include <ostream>
#include <vector>

namespace trefoilwing {

/// What became of one item of a load.
struct LoadResult {
    const LoadItem* item = nullptr;
    /// From the planned arrival to the outcome, so that a late sender doesn't flatter the system.
    absl::Duration response;
    std::optional<Error> error;
};

/// Writes percentiles of response times, the share in time, response over ideal and the failures.
void writeLoadReport(const std::vector<LoadResult>&, std::ostream&);

} // namespace trefoilwing
