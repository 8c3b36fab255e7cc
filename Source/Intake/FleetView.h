#pragma once

#include "Model/FleetMessages.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace trefoilwing {

/// Interval of heartbeats from daemons to the leading keeper and to cell owners. Several fit into the time of silence
/// after which a daemon is presumed dead.
inline constexpr absl::Duration heartbeatInterval = absl::Milliseconds(250);

/// A minion that a FleetView no longer holds.
struct RemovedMinion {
    MinionReport report;
    /// The minion that reported from the same address, or the same one for another service; unset if a keeper said that the
    /// removed one has left.
    std::optional<MinionId> replacedBy;
};

/// Updates of a keeper that were lost: those after `received` up to `since`.
struct MissedUpdates {
    uint64_t received = 0;
    uint64_t since = 0;
};

/// What a keeper's update changed in a FleetView.
struct FleetChange {
    /// Set by the update that shows a loss; the keeper should be asked for the lost ones at once.
    std::optional<MissedUpdates> missed;
    /// A newer routing table, decoded or, from a keeper of an earlier version, as a document.
    std::optional<RoutingTable> table;
    std::optional<RoutingDocument> routing;
    std::vector<MinionReport> minions;
    std::vector<RemovedMinion> removed;
    /// Evacuations that have begun or ended.
    std::vector<Evacuation> evacuations;
};

/// A daemon's view of the fleet, merged from the updates of all keepers that it receives.
///
/// The view is kept when the keepers fall silent. Older information never replaces newer, whichever keeper sends it.
class FleetView {
public:
    /// @param seeds the keepers named in the settings.
    explicit FleetView(std::vector<DaemonId> seeds);

    void setSeeds(std::vector<DaemonId> seeds);

    FleetChange receive(const DaemonId& keeper, const FleetUpdate&, absl::Time now);

    /// Makes the heartbeats that are due at each heartbeatInterval: to the leading keeper each time, to the others less
    /// often.
    /// @param own the content that all of them share.
    /// @return the receiving keepers and their heartbeats, each with the acknowledgement of that keeper's updates.
    std::vector<std::pair<DaemonId, DaemonHeartbeat>> nextHeartbeats(const DaemonHeartbeat& own);

    /// Sets in a heartbeat which of a keeper's updates this daemon has received, and whether it lacks some.
    void acknowledgeUpdates(const DaemonId& keeper, DaemonHeartbeat&) const;

    /// @return whether the keeper is the leading one, which assigns cell owners; true for a keeper that hasn't sent
    /// any update.
    bool isLeading(const DaemonId& keeper) const;
    /// @return the keepers that heartbeats are sent to.
    const std::vector<DaemonId>& keepers() const { return keepers_; }
    /// @return the entries that some keeper receives heartbeats from, and their data centres.
    const std::map<DaemonId, DataCentreId>& entries() const { return entries_; }
    std::vector<MinionReport> minionsOf(const CellId&) const;
    /// @return the latest order known for the data centre; revision 0 if none is.
    Evacuation evacuationOf(const DataCentreId&) const;
    const std::map<DataCentreId, Evacuation>& evacuations() const { return evacuations_; }
    RoutingVersion routingVersion() const { return routing_; }
    /// @return whether all minions are known that anyone may have ordered before it learned of a grant. Every keeper must
    /// have said that it knows the grant, and no update of it before that may be lost. A keeper that has just fallen
    /// silent may know minions that no other keeper knows, and one that has just restarted may have forgotten some.
    /// @param grant the epoch of the grant.
    bool isComplete(absl::Time now, OwnerEpoch grant = OwnerEpoch(0)) const;
    /// @return the time since the last message from any keeper.
    absl::Duration silence(absl::Time now) const { return now - lastUpdateAt_; }
    size_t minionCount() const { return minions_.size(); }

private:
    struct KeeperState {
        Incarnation run;
        bool isLeading = false;
        /// All updates up to this number have been received.
        uint64_t number = 0;
        /// Whether a later update has been received, and some in between were lost.
        bool hasGap = false;
        std::map<DaemonId, DaemonInfo> daemons;
        OwnerEpoch newestGrant;
        bool awaitsReports = false;
        absl::Time lastUpdateAt;

        /// @return whether the update changes the daemons.
        bool updateDaemons(const FleetUpdate&);
        /// @return the updates that were lost, if this one is the first to show it.
        std::optional<MissedUpdates> updateNumber(const FleetUpdate&);
    };

    /// Derives the lists of keepers and entries, which are read far more often than they change.
    void deriveLists();
    bool isCurrent(const KeeperState&) const;
    bool applyReport(const MinionReport&, FleetChange&);
    void removeMinion(const MinionInstance&, std::optional<MinionId> replacedBy, FleetChange&);
    void applyEvacuation(const Evacuation&, FleetChange&);

    std::vector<DaemonId> seeds_;
    std::map<DaemonId, KeeperState> keeperStates_;
    std::vector<DaemonId> keepers_;
    std::map<DaemonId, DataCentreId> entries_;
    /// Number of keepers whose lists of daemons are in entries_.
    ptrdiff_t currentKeepers_ = 0;
    absl::flat_hash_map<MinionId, MinionReport> minions_;
    /// The newest instance of each minion that has left, so that a late report doesn't add it again.
    absl::flat_hash_map<MinionId, MinionStartTime> departed_;
    std::map<DataCentreId, Evacuation> evacuations_;
    RoutingVersion routing_;
    absl::Time lastUpdateAt_ = absl::InfinitePast();
    uint64_t heartbeatRounds_ = 0;
};

} // namespace trefoilwing
