#pragma once

#include "Base/Error.h"
#include "Ctl/LoadPlan.h"

#include <functional>
#include <memory>

namespace trefoilwing {

/// A client of one entry's caller API. Not thread-safe: each thread uses a link of its own.
class CallerLink {
public:
    virtual ~CallerLink() = default;

    /// Sends a request or a job and blocks until its outcome is known.
    /// @return the number of outputs, or the error.
    virtual Result<size_t> send(const LoadItem&) = 0;
};

/// Creates links to entries. Tests pass a factory of fakes.
using CallerLinkFactory = std::function<std::unique_ptr<CallerLink>(const Endpoint&)>;

} // namespace trefoilwing
