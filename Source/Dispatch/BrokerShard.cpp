#include "Dispatch/BrokerShard.h"

#include <utility>

namespace trefoilwing {

BrokerShard::BrokerShard(DaemonRun self, BrokerHost::BrokerFactory factory, PeerLink& peers)
    : peers_(peers)
    , host_(std::move(self), std::move(factory))
{
}

void BrokerShard::setService(const ServiceDeclaration& declaration, bool isHost, absl::Time now)
{
    {
        MutexLock lock(mutex_);
        host_.setService(declaration, isHost, now);
    }
    signal_.raise();
}

void BrokerShard::dropService(const ServiceId& service)
{
    MutexLock lock(mutex_);
    host_.dropService(service);
}

void BrokerShard::minionAnnounced(const MinionAnnouncement& announcement, absl::Time now)
{
    {
        MutexLock lock(mutex_);
        host_.minionAnnounced(announcement, now);
    }
    signal_.raise();
}

void BrokerShard::minionRemoved(const ServiceId& service, const MinionId& minion, absl::Time now)
{
    {
        MutexLock lock(mutex_);
        host_.minionRemoved(service, minion, now);
    }
    signal_.raise();
}

void BrokerShard::entryRemoved(const DaemonRun& entry, absl::Time now)
{
    {
        MutexLock lock(mutex_);
        host_.entryRemoved(entry, now);
    }
    signal_.raise();
}

void BrokerShard::entryUpdated(const BrokerUpdate& update, absl::Time now)
{
    {
        MutexLock lock(mutex_);
        host_.entryUpdated(update, now);
    }
    signal_.raise();
}

absl::Time BrokerShard::pump(absl::Time now)
{
    std::vector<AddressedDecisions> decided;
    absl::Time next;
    {
        MutexLock lock(mutex_);
        decided = host_.decide(now);
        next = host_.nextWakeup();
    }
    for (AddressedDecisions& each : decided)
        peers_.send(each.to, std::move(each.decisions));
    return next;
}

} // namespace trefoilwing
