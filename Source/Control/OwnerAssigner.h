#pragma once

#include "Control/FleetRegistry.h"
#include "Model/LogRecord.h"

#include <absl/time/time.h>

#include <map>
#include <optional>
#include <vector>

namespace trefoilwing {

enum class GrantReason {
    Unowned,
    OwnerSilent,
    /// The owner's daemon is heard under another run.
    OwnerRestarted,
    OwnerDrains,
    /// An entry of the cell's own data centre is back.
    GoesHome,
    /// Its owner has far more cells for its processor than another entry of the data centre.
    Rebalanced,
};

/// A grant to propose to the log, and what led to it.
struct GrantProposal {
    GrantRecord record;
    GrantReason reason = GrantReason::Unowned;
    /// Since the present owner's last sign of life; infinite if none is known.
    absl::Duration ownerSilence;
};

/// Decides, at the leading keeper, how pools are divided into cells and which entry owns each cell.
///
/// An owner's work grows with its minions, so a pool that is too large for one entry's processor is divided into
/// cells, as few as the data centre's entries can carry: small cells make it harder to find room for a job. Entries
/// get cells in proportion to their processors.
///
/// A cell keeps its owner as long as that is heard. A data centre of which nothing at all is heard is cut
/// off rather than dead, so its cells stay as they are: their owners serve on. The same holds for a moment
/// after it is heard again.
class OwnerAssigner {
public:
    /// Takes note that this keeper has begun to lead.
    void beganLeading(absl::Time now) { leadingSince_ = now; }

    /// @return the grants to propose now.
    std::vector<GrantProposal> decide(const FleetRegistry&, const std::map<CellId, CellGrant>&, absl::Time now);

private:
    bool isHeard(const HeardDaemon&, absl::Time now) const;
    /// Whether a daemon of the data centre has been heard since the time given, and for a while without a gap.
    bool isDataCentreInTouch(const FleetRegistry&, const DataCentreId&, absl::Time since, absl::Time now) const;
    /// @return into how many cells the pool is to be divided.
    uint32_t partCount(const FleetRegistry&, const PoolId&, size_t minions, const std::map<CellId, CellGrant>& grants, absl::Time now);
    /// @return the processors of the data centre's entries that may own cells, in thousandths of a core.
    std::vector<uint32_t> processors(const FleetRegistry&, const DataCentreId&, absl::Time now) const;
    std::optional<GrantProposal> decideCell(const FleetRegistry&, const CellId&, const std::map<CellId, CellGrant>& grants, absl::Time now) const;
    /// @return why the cell should go to the candidate, if it should.
    std::optional<GrantReason> reasonToMove(const FleetRegistry&, const CellGrant&, const HeardDaemon& candidate, const std::map<CellId, CellGrant>& grants, absl::Time now) const;
    const HeardDaemon* chooseOwner(const FleetRegistry&, const CellId&, const std::map<CellId, CellGrant>&, absl::Time now) const;

    absl::Time leadingSince_ = absl::InfinitePast();
    std::map<CellId, absl::Time> proposedAt_;
    absl::Time rebalancedAt_ = absl::InfinitePast();
    /// Since when a pool has had more minions to a cell than any entry there carries.
    std::map<PoolId, absl::Time> crowdedSince_;
};

} // namespace trefoilwing
