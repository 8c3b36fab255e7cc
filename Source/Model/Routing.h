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

/// The version that an operator gives to a routing table; the table with the highest version is in force.
using RoutingVersion = StrongId<struct RoutingVersionTag, uint64_t>;

/// The name of a route, for logs and metrics.
using RouteName = StrongId<struct RouteNameTag, std::string>;

/// Maps requests of a host and path prefix to a service, and sets how their jobs are scheduled.
struct Route {
    RouteName name;
    std::string host;
    std::string pathPrefix;
    ServiceId service;
    /// The timeout of requests that state none.
    absl::Duration timeout;
    /// A job is on time if it ends within `stretch` times the run time of its longest task plus this duration.
    absl::Duration latencyTarget;
    double stretch = 1;
    /// 0 is the highest priority.
    uint32_t priority = 0;
    /// Number of failed runs of one task after which its job fails.
    uint32_t maxAttempts = 1;

    friend bool operator==(const Route&, const Route&) = default;
};

/// The decoded content of a RoutingDocument.
struct RoutingTable {
    RoutingVersion version;
    std::vector<Route> routes;
    std::vector<ServiceId> services;

    /// @return the route of the host with the longest matching path prefix, or null.
    const Route* find(std::string_view host, std::string_view path) const;

    friend bool operator==(const RoutingTable&, const RoutingTable&) = default;
};

/// A routing table in the operator's own text, which is stored so that it can be returned unchanged.
struct RoutingDocument {
    RoutingVersion version;
    std::string text;

    friend bool operator==(const RoutingDocument&, const RoutingDocument&) = default;
};

/// A document that many readers share, since it may be large.
using RoutingDocumentPtr = std::shared_ptr<const RoutingDocument>;

} // namespace trefoilwing
