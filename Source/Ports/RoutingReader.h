#pragma once

#include "Base/Error.h"
#include "Model/Routing.h"

namespace trefoilwing {

/// Decodes the operator's routing documents.
class RoutingReader {
public:
    virtual ~RoutingReader() = default;

    /// @return the table, or Malformed with what is wrong in it.
    virtual Result<RoutingTable> read(const std::string& text) const = 0;
};

} // namespace trefoilwing
