#pragma once

#include "Adapters/Clock/SteadyClock.h"
#include "Base/Error.h"
#include "Base/MutexLock.h"
#include "Base/WorkSignal.h"
#include "Control/Membership.h"
#include "Control/MinionRegistry.h"
#include "Dispatch/Pumped.h"
#include "Model/MembershipMessages.h"
#include "Model/OperatorMessages.h"
#include "Model/Settings.h"
#include "Ports/DaemonDirectory.h"
#include "Ports/PeerLink.h"

#include <atomic>
#include <map>
#include <utility>

namespace trefoilwing {

/// Receives the events of MembershipRole. They are called in order from that role's thread, with no lock held.
class MembershipEvents {
public:
    virtual ~MembershipEvents() = default;

    virtual void minionAnnounced(const MinionAnnouncement&) = 0;
    virtual void minionRemoved(const ServiceId&, const MinionId&) = 0;
    virtual void daemonJoined(const DaemonRun&) = 0;
    virtual void daemonPresumedDead(const DaemonRun&) = 0;
    /// The set of entries that host brokers changed, or this daemon's view of it became stale or fresh.
    virtual void brokersChanged() = 0;
};

/// Tracks which daemons, and which minions of this data centre, are alive. It protects the two decision objects,
/// Membership and MinionRegistry, by one lock; its pump sends their messages and delivers their events.
class MembershipRole : public DaemonDirectory, public Pumped {
public:
    /// @param peers, events must outlive the role.
    MembershipRole(const DaemonSettings&, DaemonRun self, PeerLink& peers, MembershipEvents& events);

    /// Processes a minion's announcement to this daemon.
    /// @return the lease: how long the announcement is valid.
    Result<absl::Duration> announced(const MinionAnnouncement&);

    void receive(const DaemonId& from, const Heartbeat&);
    void receive(const DaemonId& from, const RosterPart&);
    void receive(const DaemonId& from, const RosterQuery&);
    void receive(const DaemonId& from, const MinionLeaseRenewal&);
    void receive(const DaemonId& from, const MinionQuery&);
    void receive(const DaemonId& from, const MinionDelta&);

    /// Sets the version of the configuration in force, which heartbeats carry.
    void setConfiguration(ConfigurationVersion);

    /// Tells all daemons that this one accepts no new work.
    void drain();
    /// Tells all daemons that this one stops.
    void leave();

    /// @return the number of known minions, by service and state.
    std::vector<MinionCounts> minionCounts() const;
    /// @return the other daemons, and whether this one can reach them.
    std::vector<PeerStatus> peers() const;

    DaemonRun self() const override { return self_; }
    DataCentreId dataCentre() const override { return settings_.dataCentre; }
    std::optional<DaemonId> entryIn(const DataCentreId&) const override;
    std::optional<DaemonId> brokerFor(const ServiceId&) const override;
    bool isAlive(const DaemonRun&) const override;

    absl::Time pump(absl::Time now) override;
    void waitForWork(absl::Duration longest) override { signal_.wait(longest); }
    void wake() override { signal_.raise(); }

private:
    using MinionKey = std::pair<ServiceId, MinionId>;

    /// The messages and events that the decision objects produced since the last pump.
    struct PendingEffects {
        std::vector<Envelope> messages;
        std::vector<MembershipEvent> daemons;
        std::vector<MinionEvent> minions;
        bool brokersChanged = false;
    };

    PendingEffects takePendingEffects() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void applyMemberEvents(const std::vector<MembershipEvent>&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void applyMinionEvents(const std::vector<MinionEvent>&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void deliver(const MembershipEvent&);
    void deliver(const MinionEvent&);

    const DaemonSettings& settings_;
    DaemonRun self_;
    PeerLink& peers_;
    MembershipEvents& events_;
    /// Leases and timeouts need a monotonic clock.
    SteadyClock clock_;
    mutable absl::Mutex mutex_;
    Membership membership_ ABSL_GUARDED_BY(mutex_);
    MinionRegistry registry_ ABSL_GUARDED_BY(mutex_);
    std::map<MinionKey, MinionAnnouncement> minions_ ABSL_GUARDED_BY(mutex_);
    uint64_t notifiedBrokersVersion_ ABSL_GUARDED_BY(mutex_) = 0;
    bool notifiedFresh_ ABSL_GUARDED_BY(mutex_) = false;
    mutable std::atomic<uint64_t> nextEntryIndex_ { 0 };
    WorkSignal signal_;
};

} // namespace trefoilwing
