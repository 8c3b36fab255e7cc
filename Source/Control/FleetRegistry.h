#pragma once

#include "Model/FleetMessages.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <map>
#include <optional>
#include <vector>

namespace trefoilwing {

/// A daemon that was silent for longer is taken for gone. Signs of life come every 250 to 500 ms.
inline constexpr absl::Duration daemonSilence = absl::Milliseconds(850);

/// The processor of a daemon that doesn't say what it has, in thousandths of a core.
inline constexpr uint32_t defaultMilliCores = 1000;

/// A daemon that a keeper hears.
struct HeardDaemon {
    DaemonInfo note;
    absl::Time since;
    /// When its signs of life began to come without a gap that counts as silence.
    absl::Time steadySince;
    absl::Time heardAt = absl::InfinitePast();
    /// The latest news that the daemon says it has, and that was sent to it.
    uint64_t hasNews = 0;
    uint64_t sentNews = 0;
    absl::Time sentAt = absl::InfinitePast();
    RoutingVersion routing;
    /// Its processor, in thousandths of a core.
    uint32_t milliCores = defaultMilliCores;
};

/// What a keeper knows beside the log: the minions that report to it, and the daemons that it hears.
///
/// Changes are numbered, so that each daemon is told only what it lacks.
class FleetRegistry {
public:
    explicit FleetRegistry(DaemonRun self)
        : self_(std::move(self))
    {
    }

    /// @return whether the report changes anything that others need to know.
    bool reported(const MinionReport&);
    /// @return the life that left, if the minion was known.
    std::optional<MinionInstance> left(const MinionId&);
    /// @return whether the daemon is new, or says something else of itself than before.
    bool heard(const DaemonHeartbeat&, absl::Time now);
    /// Takes note whether this keeper leads; all daemons are told.
    void setLeading(bool isLeading);
    void setRouting(const RoutingDocument&);
    void setGrants(std::vector<CellGrant>);

    /// @return the news for each daemon that lacks some, to be sent now.
    std::vector<std::pair<DaemonId, FleetUpdate>> takeNews(absl::Time now);

    const std::map<DaemonId, HeardDaemon>& daemons() const { return daemons_; }
    /// Takes note of a pool that other keepers' minions belong to.
    void notePool(const PoolId& pool) { pools_.try_emplace(pool, 0); }
    /// @return how many minions of each pool this keeper knows.
    const std::map<PoolId, size_t>& pools() const { return pools_; }
    RoutingVersion routingVersion() const { return routing_.version; }
    size_t minionCount() const { return minions_.size(); }

private:
    struct Entry {
        MinionReport report;
        uint64_t number = 0;
    };

    FleetUpdate newsFor(const HeardDaemon&) const;

    DaemonRun self_;
    uint64_t number_ = 0;
    bool isLeading_ = false;
    absl::flat_hash_map<MinionId, Entry> minions_;
    struct Departure {
        MinionInstance instance;
        uint64_t number = 0;
    };
    std::vector<Departure> departures_;
    std::map<DaemonId, HeardDaemon> daemons_;
    std::map<PoolId, size_t> pools_;
    RoutingDocument routing_;
    std::vector<CellGrant> grants_;
    uint64_t grantsNumber_ = 0;
    uint64_t daemonsNumber_ = 0;
};

} // namespace trefoilwing
