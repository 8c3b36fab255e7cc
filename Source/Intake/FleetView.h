#pragma once

#include "Model/FleetMessages.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace trefoilwing {

/// Daemons give signs of life to the leading keeper and to owners this often; several fit into the silence that
/// counts as the end.
inline constexpr absl::Duration pulseInterval = absl::Milliseconds(250);

/// What a piece of news changed for its receiver.
struct FleetChange {
    std::optional<RoutingDocument> routing;
    std::vector<MinionReport> minions;
    std::vector<MinionReport> gone;
};

/// What a daemon knows of the fleet, merged from the news of all keepers that it hears.
///
/// Nothing is forgotten when the keepers fall silent, and nothing older takes the place of what is newer,
/// whichever keeper tells it.
class FleetView {
public:
    /// @param seeds the keepers that the settings name.
    explicit FleetView(std::vector<DaemonId> seeds);

    void setSeeds(std::vector<DaemonId> seeds) { seeds_ = std::move(seeds); }

    FleetChange receive(const DaemonId& keeper, const FleetUpdate&, absl::Time now);

    /// Signs of life that are due now, at each pulseInterval: to the leading keeper each time, to the others less often.
    /// @param own says what all of them are told.
    /// @return the keepers, with what this daemon has of each one's news.
    std::vector<std::pair<DaemonId, DaemonHeartbeat>> nextPulses(const DaemonHeartbeat& own);

    /// Notes in a pulse what this daemon has of a keeper's news.
    void describe(const DaemonId& keeper, DaemonHeartbeat&) const;

    /// @return whether the keeper assigns owners, as far as is known.
    bool isLeading(const DaemonId& keeper) const;
    /// @return the keepers to tell signs of life to.
    std::vector<DaemonId> keepers() const;
    /// @return the entries that some keeper hears, and where they are.
    std::map<DaemonId, DataCentreId> entries() const;
    std::vector<MinionReport> minionsOf(const CellId&) const;
    RoutingVersion routingVersion() const { return routing_; }
    /// @return whether all that the known keepers have to tell has come. A keeper that has just fallen silent
    /// may know of minions that nobody else has heard of.
    bool isComplete(absl::Time now) const;
    /// @return how long no keeper has been heard.
    absl::Duration silence(absl::Time now) const { return now - heardAt_; }
    size_t minionCount() const { return minions_.size(); }

private:
    struct KeeperNews {
        Incarnation run;
        bool isLeading = false;
        uint64_t number = 0;
        std::vector<DaemonInfo> daemons;
        absl::Time heardAt;
    };

    bool takeMinion(const MinionReport&, FleetChange&);
    void dropMinion(const MinionInstance&, FleetChange&);

    std::vector<DaemonId> seeds_;
    std::map<DaemonId, KeeperNews> news_;
    absl::flat_hash_map<MinionId, MinionReport> minions_;
    /// Lives that have left, so that a late report doesn't bring them back.
    absl::flat_hash_map<MinionId, MinionStartTime> left_;
    RoutingVersion routing_;
    absl::Time heardAt_ = absl::InfinitePast();
    uint64_t pulses_ = 0;
};

} // namespace trefoilwing
