#include "Daemon/MembershipRole.h"

#include <algorithm>

namespace trefoilwing {

namespace {

    constexpr absl::Duration minionLease = MinionRegistryOptions().lease;

} // namespace

MembershipRole::MembershipRole(const DaemonSettings& settings, DaemonRun self, PeerLink& peers, MembershipEvents& events)
    : settings_(settings)
    , self_(std::move(self))
    , peers_(peers)
    , events_(events)
    , membership_(settings, self_.incarnation, clock_.now())
    , registry_(settings.dataCentre, self_, clock_.now())
{
}

Result<absl::Duration> MembershipRole::announced(const MinionAnnouncement& announcement)
{
    {
        const MutexLock lock(mutex_);
        const Result<Done> taken = registry_.announced(announcement, clock_.now());
        if (const Error* error = errorOf(taken))
            return *error;
        const auto known = minions_.find({ announcement.service, announcement.minion });
        if (known != minions_.end())
            known->second.busySlots = announcement.busySlots;
    }
    signal_.raise();
    return minionLease;
}

void MembershipRole::receive(const DaemonId& from, const Heartbeat& heartbeat)
{
    {
        const MutexLock lock(mutex_);
        membership_.heartbeatReceived(from, heartbeat, clock_.now());
    }
    signal_.raise();
}

void MembershipRole::receive(const DaemonId& from, const RosterPart& part)
{
    {
        const MutexLock lock(mutex_);
        registry_.rosterPartReceived(from, part);
    }
    signal_.raise();
}

void MembershipRole::receive(const DaemonId& from, const RosterQuery& query)
{
    {
        const MutexLock lock(mutex_);
        registry_.rosterQueryReceived(from, query);
    }
    signal_.raise();
}

void MembershipRole::receive(const DaemonId& from, const MinionLeaseRenewal& renewal)
{
    {
        const MutexLock lock(mutex_);
        registry_.leaseRenewalReceived(from, renewal, clock_.now());
    }
    signal_.raise();
}

void MembershipRole::receive(const DaemonId& from, const MinionQuery& query)
{
    {
        const MutexLock lock(mutex_);
        registry_.minionQueryReceived(from, query);
    }
    signal_.raise();
}

void MembershipRole::receive(const DaemonId& from, const MinionDelta& delta)
{
    {
        const MutexLock lock(mutex_);
        registry_.deltaReceived(from, delta, clock_.now());
    }
    signal_.raise();
}

void MembershipRole::setConfiguration(ConfigurationVersion version)
{
    const MutexLock lock(mutex_);
    membership_.setConfiguration(version);
}

void MembershipRole::drain()
{
    {
        const MutexLock lock(mutex_);
        membership_.drain(clock_.now());
    }
    signal_.raise();
}

void MembershipRole::leave()
{
    {
        const MutexLock lock(mutex_);
        membership_.leave(clock_.now());
    }
    signal_.raise();
}

std::vector<MinionCounts> MembershipRole::minionCounts() const
{
    std::map<ServiceId, MinionCounts> counts;
    const MutexLock lock(mutex_);
    for (const auto& [key, announcement] : minions_) {
        MinionCounts& each = counts[announcement.service];
        each.service = announcement.service;
        ++(announcement.state == MinionState::Serving ? each.serving : each.leaving);
        each.slots = SlotCount(each.slots.value() + announcement.slots.value());
        each.busySlots = SlotCount(each.busySlots.value() + announcement.busySlots.value());
    }
    std::vector<MinionCounts> list;
    list.reserve(counts.size());
    for (const auto& [service, each] : counts)
        list.push_back(each);
    return list;
}

std::vector<PeerStatus> MembershipRole::peers() const
{
    const MutexLock lock(mutex_);
    std::vector<PeerStatus> list;
    for (const PeerSettings& peer : settings_.peers) {
        if (peer.daemon != self_.daemon)
            list.push_back({ peer.daemon, membership_.runOf(peer.daemon).has_value() });
    }
    return list;
}

std::optional<DaemonId> MembershipRole::entryIn(const DataCentreId& dataCentre) const
{
    const MutexLock lock(mutex_);
    const std::vector<DaemonRun> entries = membership_.aliveEntries(dataCentre);
    if (entries.empty())
        return std::nullopt;
    // Round robin, so that the entries of the other data centre share the forwarded work.
    return entries[++nextEntryIndex_ % entries.size()].daemon;
}

std::optional<DaemonId> MembershipRole::brokerFor(const ServiceId& service) const
{
    const MutexLock lock(mutex_);
    if (!membership_.isFresh())
        return std::nullopt;
    const std::optional<DaemonRun> broker = membership_.brokerFor(service);
    return broker ? std::optional(broker->daemon) : std::nullopt;
}

bool MembershipRole::isAlive(const DaemonRun& run) const
{
    if (run == self_)
        return true;
    const MutexLock lock(mutex_);
    return membership_.runOf(run.daemon) == run;
}

absl::Time MembershipRole::pump(absl::Time pumpTime)
{
    PendingEffects effects;
    absl::Duration sleep;
    {
        const MutexLock lock(mutex_);
        const absl::Time now = clock_.now();
        if (membership_.nextWakeup() <= now)
            membership_.tick(now);
        if (registry_.nextWakeup() <= now)
            registry_.tick(now);
        effects = takePendingEffects();
        sleep = std::min(membership_.nextWakeup(), registry_.nextWakeup()) - now;
    }
    for (Envelope& each : effects.messages)
        peers_.send(each.to, std::move(each.message));
    for (const MembershipEvent& event : effects.daemons)
        deliver(event);
    for (const MinionEvent& event : effects.minions)
        deliver(event);
    if (effects.brokersChanged)
        events_.brokersChanged();
    // The pump's thread may use another clock than the membership, so return a time on the caller's clock.
    return pumpTime + std::max(sleep, absl::ZeroDuration());
}

MembershipRole::PendingEffects MembershipRole::takePendingEffects()
{
    PendingEffects effects;
    MembershipOutbox members = membership_.takeOutbox();
    applyMemberEvents(members.events);
    MinionRegistryOutbox registry = registry_.takeOutbox();
    applyMinionEvents(registry.events);
    effects.messages = std::move(members.messages);
    std::move(registry.messages.begin(), registry.messages.end(), std::back_inserter(effects.messages));
    effects.daemons = std::move(members.events);
    effects.minions = std::move(registry.events);
    effects.brokersChanged = notifiedBrokersVersion_ != membership_.brokersVersion() || notifiedFresh_ != membership_.isFresh();
    notifiedBrokersVersion_ = membership_.brokersVersion();
    notifiedFresh_ = membership_.isFresh();
    return effects;
}

void MembershipRole::applyMemberEvents(const std::vector<MembershipEvent>& events)
{
    for (const MembershipEvent& event : events) {
        if (const auto* joined = std::get_if<MemberJoined>(&event); joined && joined->isNear)
            registry_.peerJoined(joined->run.daemon);
        else if (const auto* gone = std::get_if<MemberRemoved>(&event); gone && gone->isNear)
            registry_.peerRemoved(gone->run.daemon);
    }
}

void MembershipRole::applyMinionEvents(const std::vector<MinionEvent>& events)
{
    for (const MinionEvent& event : events) {
        if (const auto* announced = std::get_if<MinionAnnounced>(&event))
            minions_[{ announced->announcement.service, announced->announcement.minion }] = announced->announcement;
        else if (const auto* gone = std::get_if<MinionRemoved>(&event))
            minions_.erase({ gone->service, gone->minion });
    }
}

void MembershipRole::deliver(const MembershipEvent& event)
{
    if (const auto* joined = std::get_if<MemberJoined>(&event))
        events_.daemonJoined(joined->run);
    else if (const auto* gone = std::get_if<MemberRemoved>(&event))
        events_.daemonPresumedDead(gone->run);
}

void MembershipRole::deliver(const MinionEvent& event)
{
    if (const auto* announced = std::get_if<MinionAnnounced>(&event))
        events_.minionAnnounced(announced->announcement);
    else if (const auto* gone = std::get_if<MinionRemoved>(&event))
        events_.minionRemoved(gone->service, gone->minion);
}

} // namespace trefoilwing
