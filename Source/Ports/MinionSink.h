#pragma once

#include "Base/Error.h"
#include "Model/MinionBatches.h"

#include <absl/time/time.h>

namespace trefoilwing {

/// Takes what minions send of their own accord. Calls come from the server's threads and must not wait.
class MinionSink {
public:
    virtual ~MinionSink() = default;

    /// @return how long the announcement holds, or why it was refused.
    virtual Result<absl::Duration> announced(const MinionAnnouncement&) = 0;

    /// Takes results, which may be late, repeated, or meant for an earlier run of this daemon.
    virtual void resultsPosted(ResultBatch) = 0;
};

} // namespace trefoilwing
