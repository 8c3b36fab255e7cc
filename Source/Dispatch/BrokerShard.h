#pragma once

#include "Base/MutexLock.h"
#include "Base/WorkSignal.h"
#include "Dispatch/BrokerHost.h"
#include "Dispatch/Pumped.h"
#include "Ports/PeerLink.h"

namespace trefoilwing {

/// The brokers of a subset of the services, under one lock. The pump sends their decisions in order.
class BrokerShard : public Pumped {
public:
    BrokerShard(DaemonRun self, BrokerHost::BrokerFactory, PeerLink&);

    void setService(const ServiceDeclaration&, bool isHost, absl::Time now);
    void dropService(const ServiceId&);
    void minionAnnounced(const MinionAnnouncement&, absl::Time now);
    void minionRemoved(const ServiceId&, const MinionId&, absl::Time now);
    void entryRemoved(const DaemonRun&, absl::Time now);
    void entryUpdated(const BrokerUpdate&, absl::Time now);

    absl::Time pump(absl::Time now) override;
    void waitForWork(absl::Duration longest) override { signal_.wait(longest); }
    void wake() override { signal_.raise(); }

private:
    PeerLink& peers_;
    absl::Mutex mutex_;
    BrokerHost host_ ABSL_GUARDED_BY(mutex_);
    WorkSignal signal_;
};

} // namespace trefoilwing
