#pragma once

#include "Control/HeldReports.h"
#include "Model/FleetMessages.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace trefoilwing {

/// A daemon whose heartbeats, sent every 250 to 500 ms, are missing for longer is presumed dead.
inline constexpr absl::Duration daemonTimeout = absl::Milliseconds(850);

/// Assumed processor capacity of a daemon that doesn't report it, in thousandths of a core.
inline constexpr uint32_t defaultMilliCores = 1000;

/// What a minion's report led to.
enum class ReportOutcome {
    /// It says something that other daemons need to know.
    Changed,
    Unchanged,
    /// The routing table doesn't name its service, so it is held until one does.
    Held,
    /// As Held, but not for the first time.
    StillHeld,
    /// It names a known instance, but can't be of it.
    Contradictory,
};

/// What a keeper has acknowledged and its replicated log doesn't say yet.
struct UnloggedChanges {
    std::vector<MinionReport> reports;
    /// Minion instances that left long enough ago to be removed from the log. Only the leader proposes this.
    std::vector<MinionInstance> ended;
};

/// A keeper's record of a daemon that sends it heartbeats.
struct TrackedDaemon {
    DaemonInfo info;
    /// When the first heartbeat of this run arrived.
    absl::Time since;
    /// Start of the current series of heartbeats without a gap longer than daemonTimeout.
    absl::Time steadySince;
    absl::Time lastHeartbeatAt = absl::InfinitePast();
    /// Number of the latest change to the daemon's attributes.
    uint64_t number = 0;
    /// Numbers of the latest update that the daemon has confirmed and of the latest one sent to it.
    uint64_t lastAckedUpdate = 0;
    uint64_t lastSentUpdate = 0;
    absl::Time sentAt = absl::InfinitePast();
    /// When the daemon last confirmed anything, or when the first unconfirmed update was sent.
    absl::Time awaitingAckSince = absl::InfinitePast();
    /// The version of the routing table that the daemon uses, and the one last sent to it.
    RoutingVersion routing;
    RoutingVersion sentRouting;
    absl::Time routingSentAt = absl::InfinitePast();
    /// Its processor capacity, in thousandths of a core.
    uint32_t milliCores = defaultMilliCores;
};

/// A keeper's soft state, which isn't in the replicated log: the minions that report to it, and the daemons that
/// send it heartbeats.
///
/// Changes are numbered. Each daemon is sent a change once, and again only if it doesn't confirm it in time, so the
/// traffic grows with the changes and not with the time that confirmations take. Entries are sent the minions of their
/// own data centre and of the cells that they own.
class FleetRegistry {
public:
    explicit FleetRegistry(DaemonRun self)
        : self_(std::move(self))
    {
    }

    /// Takes a report of a service that the routing table names, or of an instance that is known already. Any other one is
    /// held, and changes nothing. One that contradicts a known instance is ignored.
    ReportOutcome minionReported(const MinionReport&, absl::Time now);
    /// Sets the services that the routing table names.
    /// @return the held reports that are taken therefore, as far as other daemons need to know them.
    std::vector<MinionReport> setServices(std::set<ServiceId>, absl::Time now);
    /// Takes the minions of other services that reported from the report's address and started earlier for ones that have left.
    /// @return what to propose of them to the log.
    std::vector<MinionReport> takeReplacedInOtherServices(const MinionReport&, absl::Time now);
    /// Handles a minion's message that it leaves. The message names no instance, but a minion reports that it is leaving
    /// before it sends it: from one that is known to serve, it is a late message of an earlier instance. The minion is kept for
    /// departureRetention, as it may still be up.
    /// @return what to propose to the log; unset if no minion has left.
    std::optional<MinionReport> minionLeft(const MinionId&, absl::Time now);
    /// Sets the minions of the replicated log. Those that are no longer in it have left, whichever keeper they told. Those of
    /// services that the routing table doesn't name are ignored.
    /// @param departed the instances that the log doesn't take any more.
    void setLoggedMinions(const std::map<MinionId, MinionReport>&, const std::deque<MinionInstance>& departed = {});
    /// Compares what this keeper knows with the replicated log. Proposals may be lost, so the difference is proposed until the
    /// log holds it, or holds something newer.
    /// @return what to propose now; a bounded part of it if there is much.
    UnloggedChanges takeUnlogged(absl::Time now);
    /// Has everything that the log lacks proposed at once, as another keeper leads now.
    void leaderChanged(absl::Time now);
    /// Sets until when minions that reported to this keeper's earlier process may not have reported again. Until then, other
    /// daemons are told that this keeper may not know all minions.
    void awaitReports(absl::Time until) { reportsAwaitedUntil_ = until; }
    bool awaitsReports(absl::Time now) const { return now < reportsAwaitedUntil_; }
    /// @return whether the daemon is new or its attributes have changed.
    bool heartbeatReceived(const DaemonHeartbeat&, absl::Time now);
    /// Sets whether this keeper is the leader; all daemons are sent the change.
    void setLeading(bool isLeading);
    /// Sets the routing table. A keeper of an entry's data centre sends it at once; the other keepers send it if the
    /// entry still lacks it some time later, so that it crosses each link once.
    void setRouting(RoutingTable, absl::Time now);
    void setGrants(const std::map<CellId, CellGrant>&);
    /// Sets the orders to evacuate data centres; older revisions than the known ones are ignored.
    void setEvacuations(const std::map<DataCentreId, Evacuation>&);

    /// @return the updates to send now, for each reachable daemon that lacks changes or is due a keepalive.
    std::vector<std::pair<DaemonId, FleetUpdate>> takeUpdates(absl::Time now);

    const std::map<DaemonId, TrackedDaemon>& daemons() const { return daemons_; }
    /// Adds a pool whose minions report to other keepers.
    void addPool(const PoolId& pool) { pools_.try_emplace(pool, 0); }
    /// @return how many minions of each pool this keeper knows.
    const std::map<PoolId, size_t>& pools() const { return pools_; }
    RoutingVersion routingVersion() const { return routing_.version; }
    size_t minionCount() const { return minions_.size(); }
    size_t heldReportCount() const { return heldReports_.size(); }
    /// @return how many minions the log lacked at the last comparison, or held in another state.
    size_t unloggedCount() const { return unloggedCount_; }

private:
    struct Entry {
        MinionReport report;
        uint64_t number = 0;
        /// When the report was last proposed to the log.
        absl::Time proposedAt = absl::InfinitePast();
        /// When this keeper learned that the minion has left.
        absl::Time leftAt = absl::InfiniteFuture();
    };
    struct Departure {
        MinionInstance instance;
        uint64_t number = 0;
    };
    struct LostDaemon {
        DaemonId daemon;
        uint64_t number = 0;
    };
    struct NumberedGrant {
        CellGrant grant;
        uint64_t number = 0;
    };

    struct NumberedEvacuation {
        Evacuation evacuation;
        uint64_t number = 0;
    };

    const MinionReport* findReport(const MinionId&) const;
    /// @return whether the log lacks the report, although it doesn't hold anything newer.
    bool isUnlogged(const MinionReport&) const;
    /// @return whether the log holds a minion that started later at the same address.
    bool isReplacedInLog(const MinionReport&) const;
    /// Removes the minions that the log won't take, as later ones use their addresses.
    void removeReplacedMinions();
    /// Records that a minion has left.
    /// @return the report that says so.
    const MinionReport& markLeft(Entry&, absl::Time now);
    /// @return whether a minion left long enough ago for the leader to remove it from the log.
    bool isRemovalDue(const Entry&, absl::Time now) const;
    /// @return whether the report is of a service that the routing table names, or of a known instance.
    bool mayTake(const MinionReport&) const;
    /// @return whether a minion that started later has reported from the report's address for its service.
    bool isAddressReused(const MinionReport&) const;
    /// @return whether the report says something that other daemons need to know.
    bool takeReport(const MinionReport&, absl::Time proposedAt);
    void removeMinion(const MinionInstance&);
    /// @return whether this instance of a minion has left. Minions that don't report their start time may return.
    bool hasLeft(const MinionInstance&) const;
    void removeSilentDaemons(absl::Time now);
    bool isReachable(const TrackedDaemon&, absl::Time now) const;
    /// @return whether the daemon lacks the routing table and it is this keeper's turn to send it.
    bool isRoutingDue(const TrackedDaemon&, absl::Time now) const;
    /// @return whether the routing table was sent to the daemon, which may still confirm it.
    bool isRoutingInFlight(const TrackedDaemon&, absl::Time now) const;
    /// @return to how many more daemons the routing table may be sent until others confirm it.
    uint64_t routingCapacity(absl::Time now) const;
    /// @return whether this keeper sends the routing table to the daemon first.
    bool isFirstRoutingSender(const TrackedDaemon&, absl::Time now) const;
    /// Forgets what was sent without being confirmed in time, so that it is sent again.
    static void rewindUnconfirmed(TrackedDaemon&, absl::Time now);
    FleetUpdate updateFor(const TrackedDaemon&, absl::Time now) const;
    void addMinions(const TrackedDaemon&, FleetUpdate&) const;
    void addDaemons(FleetUpdate&) const;

    DaemonRun self_;
    uint64_t number_ = 0;
    /// Number of the latest change that is sent without delay.
    uint64_t urgentNumber_ = 0;
    bool isLeading_ = false;
    std::set<ServiceId> services_;
    HeldReports heldReports_;
    absl::flat_hash_map<MinionId, Entry> minions_;
    /// The minions in the replicated log, and the instances that have left it.
    std::map<MinionId, MinionReport> loggedMinions_;
    std::deque<MinionInstance> loggedDepartures_;
    /// Whether the log may lack something.
    bool isComparisonDue_ = false;
    absl::Time nextComparisonAt_ = absl::InfinitePast();
    absl::Time leaderSince_ = absl::InfinitePast();
    size_t unloggedCount_ = 0;
    absl::Time reportsAwaitedUntil_ = absl::InfinitePast();
    std::deque<Departure> departures_;
    std::map<DaemonId, TrackedDaemon> daemons_;
    std::deque<LostDaemon> lostDaemons_;
    /// Number of the latest loss that is no longer in lostDaemons_; whoever lacks it is sent the whole list.
    uint64_t discardedLoss_ = 0;
    std::map<PoolId, size_t> pools_;
    RoutingTable routing_;
    absl::Time routingSetAt_ = absl::InfinitePast();
    std::map<CellId, NumberedGrant> grants_;
    std::map<DataCentreId, NumberedEvacuation> evacuations_;
    OwnerEpoch newestGrant_;
};

} // namespace trefoilwing
