#pragma once

#include "Base/Error.h"
#include "Ctl/LoadPlan.h"

#include <functional>
#include <memory>

namespace trefoilwing {

/// A caller's way to one entry, used by one thread at a time.
class CallerLink {
public:
    virtual ~CallerLink() = default;

    /// Sends a request or a job and waits for its outcome.
    /// @return the number of outputs, or why it failed.
    virtual Result<size_t> send(const LoadItem&) = 0;
};

/// Makes links to entries; tests put fakes in its place.
using CallerLinkFactory = std::function<std::unique_ptr<CallerLink>(const Endpoint&)>;

} // namespace trefoilwing
