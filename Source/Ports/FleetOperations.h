#pragma once

#include "Base/Error.h"
#include "Model/Evacuation.h"
#include "Model/Routing.h"
#include "Model/Runs.h"

#include <functional>

namespace trefoilwing {

/// The operations that a keeper offers to minions and operators. They are
/// called on the server's thread and must not block.
class FleetOperations {
public:
    virtual ~FleetOperations() = default;

    virtual void minionReported(const MinionReport&) = 0;
    virtual void minionLeft(const MinionId&) = 0;

    /// @param done receives the version in force once the table is durably stored; may be called on any thread.
    virtual void publish(RoutingDocument, std::function<void(Result<RoutingVersion>)> done) = 0;

    /// Begins or ends the evacuation of a data centre.
    /// @param done receives Done once the order is durably stored; may be called on any thread.
    /// @return the number by which the order can be abandoned.
    virtual EvacuationOrderNumber evacuate(const DataCentreId&, bool isEvacuated, std::function<void(Result<Done>)> done) = 0;

    /// Proposes an order no more whose operator has closed the connection.
    virtual void abandonEvacuation(EvacuationOrderNumber) = 0;

    /// @param done receives the newest table, or an error if this keeper can't
    /// confirm that it is the newest; may be called on any thread.
    virtual void readNewest(std::function<void(Result<RoutingDocumentPtr>)> done) = 0;
};

} // namespace trefoilwing
