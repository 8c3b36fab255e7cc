#pragma once

#include "Model/LogRecord.h"

#include <deque>
#include <map>
#include <vector>

namespace trefoilwing {

/// The state machine of the keepers' replicated log: the routing table in force, the owners of the cells, the minions and
/// the evacuations of data centres.
class FleetState {
public:
    const RoutingDocument& routing() const { return routing_; }
    const std::map<CellId, CellGrant>& grants() const { return grants_; }

    /// Installs the routing table if its version is higher than that of the table in force.
    /// @return whether it was installed.
    bool apply(const RoutingRecord&);
    /// Grants the cell if its epoch is still the one that the proposer saw (compare and swap).
    /// @return whether the cell was granted.
    bool apply(const GrantRecord&, LogIndex);

    /// Stores the minion's report, unless a newer one is known or this instance has left.
    ///
    /// Keepers propose what they have acknowledged until the log holds it, so records of a minion may be repeated and may be
    /// committed in another order than they were sent. Reports are ordered by the start of the instance, then by their sequence
    /// numbers. That an instance has left comes after all its reports and before those of later instances, and its removal is final.
    /// @return whether it was stored.
    bool apply(const MinionRecord&);
    bool apply(const MinionGoneRecord&);
    const std::map<MinionId, MinionReport>& minions() const { return minions_; }
    /// @return the minions that left last, whose reports aren't stored any more.
    const std::deque<MinionInstance>& departed() const { return departed_; }

    /// Begins or ends an evacuation if its revision is still the one that the proposer knew (compare and swap). An order for
    /// the state that is in force already gets a revision of its own too: an opposite order that is still on its way then
    /// can't take effect any more.
    /// @return whether the order was applied.
    bool apply(const EvacuationRecord&, LogIndex);
    /// @return the latest order for each data centre that ever had one.
    const std::map<DataCentreId, Evacuation>& evacuations() const { return evacuations_; }
    /// @return the data centre's evacuation; revision 0 if none was ever ordered.
    Evacuation evacuationOf(const DataCentreId&) const;

    std::vector<SnapshotChunk> snapshot() const;
    void restore(const std::vector<SnapshotChunk>&);

private:
    bool hasLeft(const MinionInstance&) const;

    RoutingDocument routing_;
    std::map<CellId, CellGrant> grants_;
    std::map<MinionId, MinionReport> minions_;
    /// The minions that left last, in the order in which they did.
    std::deque<MinionInstance> departed_;
    std::map<DataCentreId, Evacuation> evacuations_;
};

} // namespace trefoilwing
