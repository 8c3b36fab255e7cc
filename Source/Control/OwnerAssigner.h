#pragma once

#include "Control/FleetRegistry.h"
#include "Model/LogRecord.h"

#include <absl/time/time.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace trefoilwing {

enum class GrantReason {
    Unowned,
    OwnerSilent,
    /// The owner's daemon sends heartbeats of another run.
    OwnerRestarted,
    OwnerDrains,
    /// An entry of the cell's own data centre is available again.
    LocalEntryAvailable,
    /// The owner has far more cells in proportion to its processor than another entry of the data centre.
    Rebalanced,
};

/// A grant to propose to the replicated log, with its reason.
struct GrantProposal {
    GrantRecord record;
    GrantReason reason = GrantReason::Unowned;
    /// Time since the current owner's last heartbeat; infinite if none is known.
    absl::Duration ownerSilence;
};

/// Decides, at the leading keeper, how pools are divided into cells and which entry owns each cell.
///
/// An owner's work grows with the number of its minions, so a pool that is too large for one entry's processor is
/// divided into cells. There are as few cells as the data centre's entries can handle, because small cells make it
/// harder to find room for a job. Entries get cells in proportion to their processors.
///
/// A cell keeps its owner as long as the owner's heartbeats arrive. If no daemon of a data centre is reachable, the data
/// centre is assumed to be partitioned off rather than dead: its cells keep their owners, which continue to serve.
/// The same holds for a short time after its heartbeats arrive again.
class OwnerAssigner {
public:
    /// Records that this keeper has become the leader.
    void startedLeading(absl::Time now) { leadingSince_ = now; }

    /// Sets the services of the routing table in force. Minions that name any other service get no owner, unless their
    /// pool has one already.
    void setServices(std::set<ServiceId> services) { services_ = std::move(services); }

    /// @return the grants to propose now.
    std::vector<GrantProposal> decide(const FleetRegistry&, const std::map<CellId, CellGrant>&, absl::Time now);

private:
    bool isReachable(const TrackedDaemon&, absl::Time now) const;
    /// @return whether a heartbeat of some daemon of the data centre arrived at or after `since`, and the daemon has
    /// been steadily reachable for a while.
    bool isDataCentreReachable(const FleetRegistry&, const DataCentreId&, absl::Time since, absl::Time now) const;
    /// @return the number of cells into which the pool should be divided.
    uint32_t partCount(const FleetRegistry&, const PoolId&, size_t minions, const std::map<CellId, CellGrant>& grants, absl::Time now);
    /// @return the processor capacities of the data centre's entries that may own cells, in thousandths of a core.
    std::vector<uint32_t> processors(const FleetRegistry&, const DataCentreId&, absl::Time now) const;
    std::optional<GrantProposal> decideCell(const FleetRegistry&, const CellId&, const std::map<CellId, CellGrant>& grants, absl::Time now) const;
    /// @return the reason for moving the cell to the candidate, or nothing if it should stay.
    std::optional<GrantReason> reasonToMove(const FleetRegistry&, const CellGrant&, const TrackedDaemon& candidate, const std::map<CellId, CellGrant>& grants, absl::Time now) const;
    const TrackedDaemon* chooseOwner(const FleetRegistry&, const CellId&, const std::map<CellId, CellGrant>&, absl::Time now) const;

    bool mayHaveOwners(const PoolId&, const std::map<CellId, CellGrant>& grants) const;

    /// Empty until a routing table is known.
    std::set<ServiceId> services_;
    absl::Time leadingSince_ = absl::InfinitePast();
    std::map<CellId, absl::Time> proposedAt_;
    absl::Time rebalancedAt_ = absl::InfinitePast();
    /// When each pool began to have more minions per cell than any entry of its data centre can handle.
    std::map<PoolId, absl::Time> overloadedSince_;
};

} // namespace trefoilwing
