#pragma once

#include "Model/LogRecord.h"

#include <map>
#include <vector>

namespace trefoilwing {

/// The routing table in force and the owners of the cells, as the keepers' log says.
class FleetState {
public:
    const RoutingDocument& routing() const { return routing_; }
    const std::map<CellId, CellGrant>& grants() const { return grants_; }

    /// Puts the table in force if its version is the highest so far.
    /// @return whether it is in force now.
    bool apply(const RoutingRecord&);
    /// Grants the cell if nobody else was granted it since the proposer looked.
    /// @return whether the grant holds.
    bool apply(const GrantRecord&, LogIndex);

    /// Remembers the minion, unless a newer report is known.
    /// @return whether it was news.
    bool apply(const MinionRecord&);
    bool apply(const MinionGoneRecord&);
    const std::map<MinionId, MinionReport>& minions() const { return minions_; }

    std::vector<SnapshotChunk> snapshot() const;
    void restore(const std::vector<SnapshotChunk>&);

private:
    RoutingDocument routing_;
    std::map<CellId, CellGrant> grants_;
    std::map<MinionId, MinionReport> minions_;
};

} // namespace trefoilwing
