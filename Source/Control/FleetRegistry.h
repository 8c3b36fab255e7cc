#pragma once

#include "Model/FleetMessages.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <map>
#include <optional>
#include <vector>

namespace trefoilwing {

/// A daemon whose heartbeats, sent every 250 to 500 ms, are missing for longer is presumed dead.
inline constexpr absl::Duration daemonTimeout = absl::Milliseconds(850);

/// Assumed processor capacity of a daemon that doesn't report it, in thousandths of a core.
inline constexpr uint32_t defaultMilliCores = 1000;

/// A keeper's record of a daemon that sends it heartbeats.
struct TrackedDaemon {
    DaemonInfo info;
    /// When the first heartbeat of this run arrived.
    absl::Time since;
    /// Start of the current series of heartbeats without a gap longer than daemonTimeout.
    absl::Time steadySince;
    absl::Time lastHeartbeatAt = absl::InfinitePast();
    /// Numbers of the latest update that the daemon has confirmed and of the latest one sent to it.
    uint64_t lastAckedUpdate = 0;
    uint64_t lastSentUpdate = 0;
    absl::Time sentAt = absl::InfinitePast();
    RoutingVersion routing;
    /// Its processor capacity, in thousandths of a core.
    uint32_t milliCores = defaultMilliCores;
};

/// A keeper's soft state, which isn't in the replicated log: the minions that report to it, and the daemons that
/// send it heartbeats.
///
/// Changes are numbered, so that each daemon is sent only those that it hasn't confirmed.
class FleetRegistry {
public:
    explicit FleetRegistry(DaemonRun self)
        : self_(std::move(self))
    {
    }

    /// @return whether the report changes anything that other daemons need to know.
    bool minionReported(const MinionReport&);
    /// @return the instance of the minion that left, if the minion was known.
    std::optional<MinionInstance> minionLeft(const MinionId&);
    /// @return whether the daemon is new or its attributes have changed.
    bool heartbeatReceived(const DaemonHeartbeat&, absl::Time now);
    /// Sets whether this keeper is the leader; all daemons are sent the change.
    void setLeading(bool isLeading);
    void setRouting(const RoutingDocument&);
    void setGrants(std::vector<CellGrant>);

    /// @return the updates to send now, for each daemon that hasn't confirmed the latest changes or is due a keepalive.
    std::vector<std::pair<DaemonId, FleetUpdate>> takeUpdates(absl::Time now);

    const std::map<DaemonId, TrackedDaemon>& daemons() const { return daemons_; }
    /// Adds a pool whose minions report to other keepers.
    void addPool(const PoolId& pool) { pools_.try_emplace(pool, 0); }
    /// @return how many minions of each pool this keeper knows.
    const std::map<PoolId, size_t>& pools() const { return pools_; }
    RoutingVersion routingVersion() const { return routing_.version; }
    size_t minionCount() const { return minions_.size(); }

private:
    struct Entry {
        MinionReport report;
        uint64_t number = 0;
    };

    FleetUpdate updateFor(const TrackedDaemon&) const;

    DaemonRun self_;
    uint64_t number_ = 0;
    bool isLeading_ = false;
    absl::flat_hash_map<MinionId, Entry> minions_;
    struct Departure {
        MinionInstance instance;
        uint64_t number = 0;
    };
    std::vector<Departure> departures_;
    std::map<DaemonId, TrackedDaemon> daemons_;
    std::map<PoolId, size_t> pools_;
    RoutingDocument routing_;
    std::vector<CellGrant> grants_;
    uint64_t grantsNumber_ = 0;
    uint64_t daemonsNumber_ = 0;
};

} // namespace trefoilwing
