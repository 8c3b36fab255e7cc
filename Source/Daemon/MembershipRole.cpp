#include "Daemon/MembershipRole.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace trefoilwing {

namespace {

    constexpr absl::Duration minionLease = absl::Seconds(3);

} // namespace

MembershipRole::MembershipRole(const DaemonSettings& settings, DaemonRun self, const Clock& clock, MembershipEvents& events)
    : settings_(settings)
    , self_(std::move(self))
    , clock_(clock)
    , events_(events)
{
}

Result<absl::Duration> MembershipRole::announced(const MinionAnnouncement& announcement)
{
    {
        const MutexLock lock(mutex_);
        leases_[announcement.minion] = Lease { announcement, clock_.now() + minionLease };
    }
    events_.minionAnnounced(announcement);
    signal_.raise();
    return minionLease;
}

std::vector<MinionCounts> MembershipRole::minionCounts() const
{
    std::map<ServiceId, MinionCounts> counts;
    const MutexLock lock(mutex_);
    for (const auto& [minion, lease] : leases_) {
        const MinionAnnouncement& announcement = lease.announcement;
        MinionCounts& each = counts[announcement.service];
        each.service = announcement.service;
        ++(announcement.state == MinionState::Serving ? each.serving : each.leaving);
        each.slots = SlotCount(each.slots.value() + announcement.slots.value());
        each.busySlots = SlotCount(each.busySlots.value() + announcement.busySlots.value());
    }
    std::vector<MinionCounts> list;
    for (const auto& [service, each] : counts)
        list.push_back(each);
    return list;
}

std::vector<PeerStatus> MembershipRole::peers() const
{
    std::vector<PeerStatus> list;
    for (const PeerSettings& peer : settings_.peers) {
        if (peer.daemon != self_.daemon)
            list.push_back({ peer.daemon, true });
    }
    return list;
}

std::optional<DaemonId> MembershipRole::entryIn(const DataCentreId& dataCentre) const
{
    for (const PeerSettings& peer : settings_.peers) {
        if (peer.isEntry && peer.dataCentre == dataCentre)
            return peer.daemon;
    }
    return std::nullopt;
}

std::optional<DaemonId> MembershipRole::brokerFor(const ServiceId&) const
{
    return entryIn(settings_.dataCentre);
}

absl::Time MembershipRole::pump(absl::Time now)
{
    std::vector<MinionAnnouncement> gone;
    absl::Time next = absl::InfiniteFuture();
    {
        const MutexLock lock(mutex_);
        for (auto lease = leases_.begin(); lease != leases_.end();) {
            if (lease->second.end <= now) {
                gone.push_back(lease->second.announcement);
                lease = leases_.erase(lease);
            } else {
                next = std::min(next, lease->second.end);
                ++lease;
            }
        }
    }
    for (const MinionAnnouncement& each : gone)
        events_.minionGone(each.service, each.minion);
    return next;
}

} // namespace trefoilwing
