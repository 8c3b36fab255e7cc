#pragma once

#include "Base/StrongId.h"
#include "Model/Identifiers.h"

#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace trefoilwing {

/// The operator's number of a routing table; the highest one is in force.
using RoutingVersion = StrongId<struct RoutingVersionTag, uint64_t>;

/// The name of a route, for logs and metrics.
using RouteName = StrongId<struct RouteNameTag, std::string>;

/// A queue of jobs: which requests belong to it and how its jobs are served.
struct Route {
    RouteName name;
    std::string host;
    std::string pathPrefix;
    ServiceId service;
    /// How long a caller waits for an answer that doesn't say so itself.
    absl::Duration timeout;
    /// A job is on time within `stretch` times its longest task and this much more.
    absl::Duration latencyTarget;
    double stretch = 1;
    /// 0 is the most urgent.
    uint32_t priority = 0;
    /// Failed runs of one task that make its job failed.
    uint32_t maxAttempts = 1;

    friend bool operator==(const Route&, const Route&) = default;
};

/// The routes in force, decoded from a RoutingDocument.
struct RoutingTable {
    RoutingVersion version;
    std::vector<Route> routes;
    std::vector<ServiceId> services;

    /// @return the route of the longest prefix, or null.
    const Route* find(std::string_view host, std::string_view path) const;
};

/// A routing table as the operator sent it, kept whole so that it can be given back unchanged.
struct RoutingDocument {
    RoutingVersion version;
    std::string text;

    friend bool operator==(const RoutingDocument&, const RoutingDocument&) = default;
};

} // namespace trefoilwing
