#pragma once

#include "Model/Identifiers.h"

#include <optional>

namespace trefoilwing {

/// Lists the daemons that are reachable, as far as this daemon knows.
class DaemonDirectory {
public:
    virtual ~DaemonDirectory() = default;

    virtual DaemonRun self() const = 0;
    virtual DataCentreId dataCentre() const = 0;

    /// @return a live entry of the data centre, if any.
    virtual std::optional<DaemonId> entryIn(const DataCentreId&) const = 0;

    /// @return the entry of this data centre that hosts the service's slot broker, if any entry is alive.
    virtual std::optional<DaemonId> brokerFor(const ServiceId&) const = 0;

    /// @return whether exactly this incarnation of the daemon is alive.
    virtual bool isAlive(const DaemonRun&) const = 0;
};

} // namespace trefoilwing
