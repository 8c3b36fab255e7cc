#pragma once

#include "Base/Error.h"
#include "Model/MinionBatches.h"

#include <absl/time/time.h>

namespace trefoilwing {

/// Receives announcements and results from minions. Its methods are called on the server's threads and must not block.
class MinionSink {
public:
    virtual ~MinionSink() = default;

    /// @return the duration of the lease that the announcement gets, or the reason why it was refused.
    virtual Result<absl::Duration> announced(const MinionAnnouncement&) = 0;

    /// Receives results, which may be late, repeated, or meant for an earlier incarnation of this daemon.
    virtual void resultsPosted(ResultBatch) = 0;
};

} // namespace trefoilwing
