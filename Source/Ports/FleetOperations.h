#pragma once

#include "Base/Error.h"
#include "Model/Routing.h"
#include "Model/Runs.h"

#include <functional>

namespace trefoilwing {

/// What a keeper offers to minions and operators. Calls come from the server's thread and must not wait.
class FleetOperations {
public:
    virtual ~FleetOperations() = default;

    virtual void minionReported(const MinionReport&) = 0;
    virtual void minionLeft(const MinionId&) = 0;

    /// @param done gets the version in force once the table is kept, from any thread.
    virtual void publish(RoutingDocument, std::function<void(Result<RoutingVersion>)> done) = 0;

    /// @param done gets the newest table, or an error where this keeper can't be sure, from any thread.
    virtual void readNewest(std::function<void(Result<RoutingDocument>)> done) = 0;
};

} // namespace trefoilwing
