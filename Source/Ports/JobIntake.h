#pragma once

#include "Model/IncomingJob.h"

#include <string>

namespace trefoilwing {

/// Whether an entry knows the route of a request.
enum class RouteStatus {
    Known,
    Unknown,
    /// This entry has no routing table yet.
    NoTable,
};

/// The result of looking up the route of a request.
struct RouteMatch {
    RouteStatus status = RouteStatus::NoTable;
    /// Length of the matched path prefix in bytes; 0 if no route matches.
    size_t prefixLength = 0;
};

/// Accepts jobs from callers. Its methods are called on the server's thread and must not block.
class JobIntake {
public:
    virtual ~JobIntake() = default;

    /// Accepts a job. Its answer is sent through CallerReplies, possibly before the call returns.
    virtual void submit(Ticket, const IncomingJob&) = 0;

    /// Called when the caller disconnects before it was answered.
    virtual void abandon(Ticket) = 0;

    virtual RouteMatch findRoute(const std::string& host, const std::string& path) const = 0;

    /// @return whether requests should wait, because this entry has just
    /// started and doesn't know the fleet's state yet.
    virtual bool isStarting() const = 0;

    /// @return whether this entry is ready for new callers.
    virtual bool isReady() const = 0;
};

} // namespace trefoilwing
