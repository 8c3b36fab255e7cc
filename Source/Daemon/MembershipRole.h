#pragma once

#include "Base/Error.h"
#include "Base/MutexLock.h"
#include "Dispatch/Pumped.h"
#include "Dispatch/WorkSignal.h"
#include "Model/OperatorMessages.h"
#include "Model/Settings.h"
#include "Ports/Clock.h"
#include "Ports/DaemonDirectory.h"

#include <map>

namespace trefoilwing {

/// Takes what membership finds out. Calls come from the role's thread and hold no lock.
class MembershipEvents {
public:
    virtual ~MembershipEvents() = default;

    virtual void minionAnnounced(const MinionAnnouncement&) = 0;
    virtual void minionGone(const ServiceId&, const MinionId&) = 0;
    virtual void daemonGone(const DaemonRun&) = 0;
    /// The entries that can host brokers are others than before.
    virtual void brokersMoved() = 0;
};

/// Knows which daemons and which minions of this data centre are alive.
class MembershipRole : public DaemonDirectory, public Pumped {
public:
    MembershipRole(const DaemonSettings&, DaemonRun self, const Clock&, MembershipEvents&);

    /// Takes a minion's announcement to this daemon.
    /// @return how long it holds.
    Result<absl::Duration> announced(const MinionAnnouncement&);

    /// @return the minions known, by service and state.
    std::vector<MinionCounts> minionCounts() const;
    /// @return the other daemons, as this one sees them.
    std::vector<PeerStatus> peers() const;

    DaemonRun self() const override { return self_; }
    DataCentreId dataCentre() const override { return settings_.dataCentre; }
    std::optional<DaemonId> entryIn(const DataCentreId&) const override;
    std::optional<DaemonId> brokerFor(const ServiceId&) const override;
    bool isAlive(const DaemonRun&) const override { return true; }

    absl::Time pump(absl::Time now) override;
    void waitForWork(absl::Time until) override { signal_.wait(until); }
    void wake() override { signal_.raise(); }

private:
    struct Lease {
        MinionAnnouncement announcement;
        absl::Time end;
    };

    const DaemonSettings& settings_;
    DaemonRun self_;
    const Clock& clock_;
    MembershipEvents& events_;
    mutable absl::Mutex mutex_;
    std::map<MinionId, Lease> leases_ ABSL_GUARDED_BY(mutex_);
    WorkSignal signal_;
};

} // namespace trefoilwing
