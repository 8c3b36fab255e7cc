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
    , lastDriven_(now)
    , staleSince_(now)
{
    for (const PeerSettings& peer : settings.peers) {
        if (peer.daemon == self_.daemon)
            continue;
        Peer& added = peers_[peer.daemon];
        added.dataCentre = peer.dataCentre;
        added.isEntry = peer.isEntry;
        added.isNear = peer.dataCentre == dataCentre_;
        added.lastHeard = now;
        added.nextBeat = now;
    }
}

void Membership::heartbeatReceived(const DaemonId& from, const Heartbeat& heartbeat, absl::Time now)
{
    noticeFreeze(now);
    const auto found = peers_.find(from);
    if (found == peers_.end())
        return;
    Peer& peer = found->second;
    if (heartbeat.incarnation < peer.incarnation)
        return;
    if (heartbeat.incarnation > peer.incarnation) {
        if (peer.isThere())
            end(from, peer, MemberState::Gone);
        peer.incarnation = heartbeat.incarnation;
        peer.sequence = 0;
        peer.state = MemberState::Unknown;
        peer.hasAnswered = false;
    }
    // A late heartbeat must not revive a run that has left.
    if (heartbeat.sequence <= peer.sequence || peer.state == MemberState::Left)
        return;
    peer.sequence = heartbeat.sequence;
    peer.lastHeard = now;
    if (std::exchange(peer.declared, heartbeat.state) != heartbeat.state)
        ++brokersVersion_;
    if (heartbeat.echo > staleSequence_ && heartbeat.echo <= sequence_)
        peer.hasAnswered = true;
    if (heartbeat.state == DaemonState::Left) {
        end(from, peer, MemberState::Left);
    } else {
        if (!peer.isThere()) {
            outbox_.events.emplace_back(MemberJoined { { from, peer.incarnation }, peer.isNear });
            ++brokersVersion_;
        }
        peer.state = MemberState::Alive;
    }
    becomeFreshIfAnswered(now);
}

void Membership::tick(absl::Time now)
{
    noticeFreeze(now);
    for (auto& [daemon, peer] : peers_) {
        judgeSilence(daemon, peer, now);
        if (now >= peer.nextBeat)
            beat(daemon, peer, now);
    }
    becomeFreshIfAnswered(now);
}

absl::Time Membership::nextWakeup() const
{
    // Timeouts are checked at the heartbeat interval, which is several times shorter than the timeouts.
    absl::Time due = lastDriven_ + options_.near.interval;
    for (const auto& [daemon, peer] : peers_)
        due = std::min(due, peer.nextBeat);
    return due;
}

void Membership::drain(absl::Time now)
{
    noticeFreeze(now);
    state_ = DaemonState::Draining;
    ++brokersVersion_;
    beatAll(now);
}

void Membership::leave(absl::Time now)
{
    state_ = DaemonState::Left;
    ++brokersVersion_;
    beatAll(now);
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
    if (found == peers_.end() || !found->second.isThere())
        return std::nullopt;
    return DaemonRun { daemon, found->second.incarnation };
}

std::vector<DaemonRun> Membership::aliveEntries(const DataCentreId& dataCentre) const
{
    return entriesThat(dataCentre, true);
}

std::optional<DaemonRun> Membership::brokerFor(const ServiceId& service) const
{
    std::vector<DaemonRun> entries = entriesThat(dataCentre_, false);
    // If all entries are draining, their jobs in progress still need a broker.
    if (entries.empty())
        entries = entriesThat(dataCentre_, true);
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

void Membership::noticeFreeze(absl::Time now)
{
    if (now - lastDriven_ > options_.frozenAfter)
        becomeStale(now);
    lastDriven_ = std::max(lastDriven_, now);
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
        peer.lastHeard = now;
        peer.hasAnswered = false;
    }
    beatAll(now);
}

void Membership::becomeFreshIfAnswered(absl::Time now)
{
    if (isFresh_)
        return;
    const auto isAwaited = [](const Peers::value_type& item) {
        const Peer& peer = item.second;
        return peer.isNear && !peer.hasAnswered && (peer.isThere() || peer.state == MemberState::Unknown);
    };
    const bool isOver = now - staleSince_ >= options_.near.goneAfter;
    if (!isOver && std::any_of(peers_.begin(), peers_.end(), isAwaited))
        return;
    isFresh_ = true;
    outbox_.events.emplace_back(SelfFresh {});
}

void Membership::beat(const DaemonId& daemon, Peer& peer, absl::Time now)
{
    // An answer counts by the sequence of the heartbeat that it echoes, so each heartbeat needs a sequence of its own.
    outbox_.messages.push_back({ daemon, Heartbeat { self_.incarnation, ++sequence_, peer.sequence, state_, configuration_ } });
    peer.nextBeat = state_ == DaemonState::Left ? absl::InfiniteFuture() : now + timingOf(peer).interval;
}

void Membership::beatAll(absl::Time now)
{
    for (auto& [daemon, peer] : peers_)
        beat(daemon, peer, now);
}

void Membership::judgeSilence(const DaemonId& daemon, Peer& peer, absl::Time now)
{
    if (!peer.isThere())
        return;
    const absl::Duration silence = now - peer.lastHeard;
    if (silence >= timingOf(peer).goneAfter)
        end(daemon, peer, MemberState::Gone);
    else if (silence >= timingOf(peer).suspectAfter)
        peer.state = MemberState::Suspect;
}

void Membership::end(const DaemonId& daemon, Peer& peer, MemberState state)
{
    if (peer.isThere())
        outbox_.events.emplace_back(MemberRemoved { { daemon, peer.incarnation }, peer.isNear });
    peer.state = state;
    ++brokersVersion_;
}

std::vector<DaemonRun> Membership::entriesThat(const DataCentreId& dataCentre, bool mayDrain) const
{
    std::vector<DaemonRun> entries;
    if (isEntry_ && dataCentre == dataCentre_ && (mayDrain || state_ == DaemonState::Active))
        entries.push_back(self_);
    for (const auto& [daemon, peer] : peers_) {
        if (peer.isEntry && peer.dataCentre == dataCentre && peer.isThere() && (mayDrain || peer.declared == DaemonState::Active))
            entries.push_back({ daemon, peer.incarnation });
    }
    return entries;
}

} // namespace trefoilwing
