#pragma once

#include "Base/Error.h"
#include "Model/Routing.h"

namespace trefoilwing {

/// Parses routing documents.
class RoutingReader {
public:
    virtual ~RoutingReader() = default;

    /// @return the routing table, or Malformed with a message that describes the fault.
    virtual Result<RoutingTable> read(const std::string& text) const = 0;
};

} // namespace trefoilwing
