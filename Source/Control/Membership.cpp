#include "Control/Membership.h"

#include "Base/StableHash.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace trefoilwing {

Membership::Membership(const DaemonSettings& settings, Incarnation incarnation, absl::Time now, MembershipOptions options)
    : self_ { settings.daemon, incarnation }
    , dataCentre_(settings.dataCentre)
    , isEntry_(settings.isEntry)
    , options_(options)
    , lastCallAt_(now)
    , staleSince_(now)
{
    for (const PeerSettings& peer : settings.peers) {
        if (peer.daemon == self_.daemon)
            continue;
        Peer& added = peers_[peer.daemon];
        added.dataCentre = peer.dataCentre;
        added.isEntry = peer.isEntry;
        added.isNear = peer.dataCentre == dataCentre_;
        added.lastHeartbeatAt = now;
        added.nextHeartbeat = now;
    }
}

void Membership::heartbeatReceived(const DaemonId& from, const Heartbeat& heartbeat, absl::Time now)
{
    detectFreeze(now);
    const auto found = peers_.find(from);
    if (found == peers_.end())
        return;
    Peer& peer = found->second;
    if (heartbeat.incarnation < peer.incarnation)
        return;
    if (heartbeat.incarnation > peer.incarnation) {
        if (peer.isPresumedAlive())
            markEnded(from, peer, MemberState::PresumedDead);
        peer.incarnation = heartbeat.incarnation;
        peer.sequence = 0;
        peer.state = MemberState::Unknown;
        peer.hasAnswered = false;
    }
    // A late heartbeat must not revive a run that has left.
    if (heartbeat.sequence <= peer.sequence || peer.state == MemberState::Left)
        return;
    peer.sequence = heartbeat.sequence;
    peer.lastHeartbeatAt = now;
    if (std::exchange(peer.reportedState, heartbeat.state) != heartbeat.state)
        ++brokersVersion_;
    if (heartbeat.echo > staleSequence_ && heartbeat.echo <= sequence_)
        peer.hasAnswered = true;
    if (heartbeat.state == DaemonState::Left) {
        markEnded(from, peer, MemberState::Left);
    } else {
        if (!peer.isPresumedAlive()) {
            outbox_.events.emplace_back(MemberJoined { { from, peer.incarnation }, peer.isNear });
            ++brokersVersion_;
        }
        peer.state = MemberState::Alive;
    }
    becomeFreshIfAnswered(now);
}

void Membership::tick(absl::Time now)
{
    detectFreeze(now);
    for (auto& [daemon, peer] : peers_) {
        checkTimeout(daemon, peer, now);
        if (now >= peer.nextHeartbeat)
            sendHeartbeat(daemon, peer, now);
    }
    becomeFreshIfAnswered(now);
}

absl::Time Membership::nextWakeup() const
{
    // Timeouts are checked at the heartbeat interval, which is several times shorter than the timeouts.
    absl::Time due = lastCallAt_ + options_.near.interval;
    for (const auto& [daemon, peer] : peers_)
        due = std::min(due, peer.nextHeartbeat);
    return due;
}

void Membership::drain(absl::Time now)
{
    detectFreeze(now);
    state_ = DaemonState::Draining;
    ++brokersVersion_;
    sendHeartbeats(now);
}

void Membership::leave(absl::Time now)
{
    state_ = DaemonState::Left;
    ++brokersVersion_;
    sendHeartbeats(now);
}

MembershipOutbox Membership::takeOutbox()
{
    return std::exchange(outbox_, {});
}

MemberState Membership::stateOf(const DaemonId& daemon) const
{
    if (daemon == self_.daemon)
        return state_ == DaemonState::Left ? MemberState::Left : MemberState::Alive;
    const auto found = peers_.find(daemon);
    return found == peers_.end() ? MemberState::Unknown : found->second.state;
}

std::optional<DaemonRun> Membership::runOf(const DaemonId& daemon) const
{
    if (daemon == self_.daemon)
        return self_;
    const auto found = peers_.find(daemon);
    if (found == peers_.end() || !found->second.isPresumedAlive())
        return std::nullopt;
    return DaemonRun { daemon, found->second.incarnation };
}

std::vector<DaemonRun> Membership::aliveEntries(const DataCentreId& dataCentre) const
{
    return findEntries(dataCentre, true);
}

std::optional<DaemonRun> Membership::brokerFor(const ServiceId& service) const
{
    std::vector<DaemonRun> entries = findEntries(dataCentre_, false);
    // If all entries are draining, their jobs in progress still need a broker.
    if (entries.empty())
        entries = findEntries(dataCentre_, true);
    // Rendezvous hashing: a service moves only when the entry with its highest weight leaves or joins.
    const auto weight = [&](const DaemonRun& run) { return stableHash(absl::StrCat(service.value(), "\n", run.daemon.value())); };
    const auto highest = std::max_element(entries.begin(), entries.end(),
        [&](const DaemonRun& a, const DaemonRun& b) { return weight(a) < weight(b); });
    return highest == entries.end() ? std::nullopt : std::optional<DaemonRun>(*highest);
}

const HeartbeatTiming& Membership::timingOf(const Peer& peer) const
{
    return peer.isNear ? options_.near : options_.far;
}

void Membership::detectFreeze(absl::Time now)
{
    if (now - lastCallAt_ > options_.freezeThreshold)
        becomeStale(now);
    lastCallAt_ = std::max(lastCallAt_, now);
}

void Membership::becomeStale(absl::Time now)
{
    if (isFresh_)
        outbox_.events.emplace_back(SelfStale {});
    isFresh_ = false;
    staleSince_ = now;
    staleSequence_ = sequence_;
    // No heartbeats arrived because this daemon itself was frozen, so the timeouts of all peers restart.
    for (auto& [daemon, peer] : peers_) {
        peer.lastHeartbeatAt = now;
        peer.hasAnswered = false;
    }
    sendHeartbeats(now);
}

void Membership::becomeFreshIfAnswered(absl::Time now)
{
    if (isFresh_)
        return;
    const auto isAwaited = [](const Peers::value_type& item) {
        const Peer& peer = item.second;
        return peer.isNear && !peer.hasAnswered && (peer.isPresumedAlive() || peer.state == MemberState::Unknown);
    };
    const bool isOver = now - staleSince_ >= options_.near.presumedDeadAfter;
    if (!isOver && std::any_of(peers_.begin(), peers_.end(), isAwaited))
        return;
    isFresh_ = true;
    outbox_.events.emplace_back(SelfFresh {});
}

void Membership::sendHeartbeat(const DaemonId& daemon, Peer& peer, absl::Time now)
{
    // An answer counts by the sequence of the heartbeat that it echoes, so each heartbeat needs a sequence of its own.
    outbox_.messages.push_back({ daemon, Heartbeat { self_.incarnation, ++sequence_, peer.sequence, state_, configuration_ } });
    peer.nextHeartbeat = state_ == DaemonState::Left ? absl::InfiniteFuture() : now + timingOf(peer).interval;
}

void Membership::sendHeartbeats(absl::Time now)
{
    for (auto& [daemon, peer] : peers_)
        sendHeartbeat(daemon, peer, now);
}

void Membership::checkTimeout(const DaemonId& daemon, Peer& peer, absl::Time now)
{
    if (!peer.isPresumedAlive())
        return;
    const absl::Duration silence = now - peer.lastHeartbeatAt;
    if (silence >= timingOf(peer).presumedDeadAfter)
        markEnded(daemon, peer, MemberState::PresumedDead);
    else if (silence >= timingOf(peer).suspectAfter)
        peer.state = MemberState::Suspect;
}

void Membership::markEnded(const DaemonId& daemon, Peer& peer, MemberState state)
{
    if (peer.isPresumedAlive())
        outbox_.events.emplace_back(MemberRemoved { { daemon, peer.incarnation }, peer.isNear });
    peer.state = state;
    ++brokersVersion_;
}

std::vector<DaemonRun> Membership::findEntries(const DataCentreId& dataCentre, bool mayDrain) const
{
    std::vector<DaemonRun> entries;
    if (isEntry_ && dataCentre == dataCentre_ && (mayDrain || state_ == DaemonState::Active))
        entries.push_back(self_);
    for (const auto& [daemon, peer] : peers_) {
        if (peer.isEntry && peer.dataCentre == dataCentre && peer.isPresumedAlive() && (mayDrain || peer.reportedState == DaemonState::Active))
            entries.push_back({ daemon, peer.incarnation });
    }
    return entries;
}

} // namespace trefoilwing
