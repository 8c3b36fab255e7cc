#pragma once

#include "Model/IncomingJob.h"

#include <string>

namespace trefoilwing {

/// What an entry knows of a route that a caller names.
enum class RouteStatus {
    Known,
    Unknown,
    /// This entry has no routing table yet.
    NoTable,
};

/// Where a request's path leads.
struct RouteMatch {
    RouteStatus status = RouteStatus::NoTable;
    /// How long the path's prefix is that the route has; 0 where there is none.
    size_t prefixLength = 0;
};

/// Takes callers' jobs. Calls come from the server's thread and must not wait.
class JobIntake {
public:
    virtual ~JobIntake() = default;

    /// Takes a job; its answer comes through CallerReplies, maybe before the call returns.
    virtual void submit(Ticket, const IncomingJob&) = 0;

    /// The caller went away before its answer.
    virtual void abandon(Ticket) = 0;

    virtual RouteMatch findRoute(const std::string& host, const std::string& path) const = 0;

    /// @return whether requests should wait, as this entry has just started and doesn't know its fleet yet.
    virtual bool isStarting() const = 0;

    /// @return whether new callers should come to this entry.
    virtual bool isReady() const = 0;
};

} // namespace trefoilwing
