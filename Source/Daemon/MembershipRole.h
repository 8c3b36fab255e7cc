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

/// Takes what membership finds out. Calls come from the role's thread, in order, and hold no lock.
class MembershipEvents {
public:
    virtual ~MembershipEvents() = default;

    virtual void minionAnnounced(const MinionAnnouncement&) = 0;
    virtual void minionGone(const ServiceId&, const MinionId&) = 0;
    virtual void daemonJoined(const DaemonRun&) = 0;
    virtual void daemonGone(const DaemonRun&) = 0;
    /// The entries that host brokers are others than before, or this daemon's view became stale or fresh.
    virtual void brokersMoved() = 0;
};

/// Knows which daemons and which minions of this data centre are alive: one shard, under its own lock,
/// around the two decision objects, with a pump that delivers what they decide.
class MembershipRole : public DaemonDirectory, public Pumped {
public:
    /// @param peers, events must outlive the role.
    MembershipRole(const DaemonSettings&, DaemonRun self, PeerLink& peers, MembershipEvents& events);

    /// Takes a minion's announcement to this daemon.
    /// @return how long it holds.
    Result<absl::Duration> announced(const MinionAnnouncement&);

    void receive(const DaemonId& from, const Heartbeat&);
    void receive(const DaemonId& from, const RosterPart&);
    void receive(const DaemonId& from, const RosterQuery&);
    void receive(const DaemonId& from, const MinionLeaseRenewal&);
    void receive(const DaemonId& from, const MinionQuery&);
    void receive(const DaemonId& from, const MinionDelta&);

    /// Takes the version of the configuration that is in force here.
    void setConfiguration(ConfigurationVersion);

    /// Tells all daemons that this one takes nothing new.
    void drain();
    /// Tells all daemons that this one ends.
    void leave();

    /// @return the minions known, by service and state.
    std::vector<MinionCounts> minionCounts() const;
    /// @return the other daemons, as this one sees them.
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

    /// What the decision objects decided since the last pump.
    struct Decided {
        std::vector<Envelope> messages;
        std::vector<MembershipEvent> daemons;
        std::vector<MinionEvent> minions;
        bool brokersMoved = false;
    };

    Decided takeDecided() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void noteMembers(const std::vector<MembershipEvent>&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void noteMinions(const std::vector<MinionEvent>&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void deliver(const MembershipEvent&);
    void deliver(const MinionEvent&);

    const DaemonSettings& settings_;
    DaemonRun self_;
    PeerLink& peers_;
    MembershipEvents& events_;
    /// Leases and silences are measured by a clock that never steps.
    SteadyClock clock_;
    mutable absl::Mutex mutex_;
    Membership membership_ ABSL_GUARDED_BY(mutex_);
    MinionRegistry registry_ ABSL_GUARDED_BY(mutex_);
    std::map<MinionKey, MinionAnnouncement> minions_ ABSL_GUARDED_BY(mutex_);
    uint64_t toldBrokersVersion_ ABSL_GUARDED_BY(mutex_) = 0;
    bool toldFresh_ ABSL_GUARDED_BY(mutex_) = false;
    mutable std::atomic<uint64_t> lastEntry_ { 0 };
    WorkSignal signal_;
};

} // namespace trefoilwing
