#include "Control/EntryCluster.h"

#include <absl/strings/str_cat.h>

namespace trefoilwing {

namespace {

    constexpr absl::Duration announceInterval = absl::Seconds(1);
    constexpr absl::Duration latency = absl::Milliseconds(1);

    /// Passes each kind of message to the object that handles it.
    struct Receiver {
        Membership& membership;
        MinionRegistry& registry;
        const DaemonId& from;
        absl::Time now;

        void operator()(const Heartbeat& message) const { membership.heartbeatReceived(from, message, now); }
        void operator()(const RosterPart& message) const { registry.rosterPartReceived(from, message); }
        void operator()(const RosterQuery& message) const { registry.rosterQueryReceived(from, message); }
        void operator()(const MinionLeaseRenewal& message) const { registry.leaseRenewalReceived(from, message, now); }
        void operator()(const MinionQuery& message) const { registry.minionQueryReceived(from, message); }
        void operator()(const MinionDelta& message) const { registry.deltaReceived(from, message, now); }
        void operator()(const auto&) const { }
    };

} // namespace

EntryCluster::EntryCluster(Options options)
    : options_(options)
    , random_(options.seed)
{
    for (size_t i = 0; i < options.dataCentres * options.entriesEach; ++i) {
        PeerSettings peer;
        peer.daemon = DaemonId(absl::StrCat("entry-", i));
        peer.dataCentre = DataCentreId(absl::StrCat("centre-", i / options.entriesEach));
        peers_.push_back(peer);
    }
    entries_.resize(peers_.size());
    for (size_t i = 0; i < entries_.size(); ++i)
        start(i);
}

const ServiceId& EntryCluster::service()
{
    static const ServiceId service("quotes");
    return service;
}

void EntryCluster::run(absl::Duration duration)
{
    for (const absl::Time end = now_ + duration; now_ < end;) {
        now_ += options_.step;
        announceDue();
        while (!messagesInFlight_.empty() && messagesInFlight_.begin()->first <= now_) {
            const MessageInFlight inFlight = std::move(messagesInFlight_.extract(messagesInFlight_.begin()).mapped());
            deliver(inFlight);
        }
        for (size_t i = 0; i < entries_.size(); ++i) {
            Entry& entry = entries_[i];
            if (!entry.isRunning())
                continue;
            if (now_ >= entry.membership->nextWakeup())
                entry.membership->tick(now_);
            if (now_ >= entry.registry->nextWakeup())
                entry.registry->tick(now_);
            flush(i);
        }
    }
}

void EntryCluster::kill(size_t index)
{
    Entry& killed = entry(index);
    killed.membership.reset();
    killed.registry.reset();
    killed.held.clear();
    killed.isFrozen = false;
}

void EntryCluster::restart(size_t index)
{
    kill(index);
    start(index % size());
}

void EntryCluster::freeze(size_t index)
{
    entry(index).isFrozen = entry(index).isUp();
}

void EntryCluster::resume(size_t index)
{
    Entry& resumed = entry(index);
    resumed.isFrozen = false;
    const auto held = std::exchange(resumed.held, {});
    for (const auto& action : held)
        action();
}

void EntryCluster::drain(size_t index)
{
    if (!entry(index).isRunning())
        return;
    entry(index).membership->drain(now_);
    flush(index % size());
}

void EntryCluster::leave(size_t index)
{
    if (!entry(index).isRunning())
        return;
    entry(index).membership->leave(now_);
    flush(index % size());
    kill(index);
}

void EntryCluster::heal()
{
    isolated_.clear();
    faults_ = {};
}

size_t EntryCluster::addMinion(size_t dataCentre)
{
    Minion added;
    MinionAnnouncement& announcement = added.announcement;
    announcement.minion = MinionId(absl::StrCat("minion-", minions_.size()));
    announcement.incarnation = Incarnation(1);
    announcement.endpoint = { absl::StrCat("10.0.", minions_.size() / 256, ".", minions_.size() % 256), 8080 };
    announcement.service = service();
    announcement.dataCentre = DataCentreId(absl::StrCat("centre-", dataCentre));
    announcement.worker = WorkerId(absl::StrCat("worker-", minions_.size()));
    announcement.rack = RackId(absl::StrCat("rack-", minions_.size() / 8));
    announcement.slots = SlotCount(8);
    announcement.resources = { { "accelerators", 1 } };
    added.nextAnnouncement = now_ + announceInterval * random_.unit();
    minions_.push_back(added);
    return minions_.size() - 1;
}

void EntryCluster::restartMinion(size_t index)
{
    Minion& restarted = minion(index);
    restarted.isUp = true;
    restarted.announcement.incarnation = Incarnation(restarted.announcement.incarnation.value() + 1);
    restarted.announcement.sequence = 0;
    restarted.announcement.state = MinionState::Serving;
    restarted.nextAnnouncement = now_;
}

void EntryCluster::leaveMinion(size_t index)
{
    minion(index).announcement.state = MinionState::Leaving;
    minion(index).nextAnnouncement = now_;
}

void EntryCluster::resizeMinion(size_t index, uint32_t slots)
{
    minion(index).announcement.slots = SlotCount(slots);
    minion(index).nextAnnouncement = now_;
}

void EntryCluster::announce(const MinionAnnouncement& announcement, size_t index)
{
    Entry& target = entry(index);
    if (target.isFrozen) {
        target.held.push_back([this, announcement, index] { announce(announcement, index); });
    } else if (target.isUp()) {
        static_cast<void>(target.registry->announced(announcement, now_));
        flush(index % size());
    }
}

std::string EntryCluster::disagreement(size_t dataCentre)
{
    std::map<MinionId, MinionAnnouncement> truth;
    for (const Minion& each : minions_) {
        if (each.isUp && each.announcement.dataCentre.value() == absl::StrCat("centre-", dataCentre))
            truth[each.announcement.minion] = each.announcement;
    }
    std::optional<DaemonRun> broker;
    for (size_t i = dataCentre * options_.entriesEach; i < (dataCentre + 1) * options_.entriesEach; ++i) {
        Entry& each = entries_[i];
        if (!each.isRunning())
            continue;
        if (!each.membership->isFresh())
            return absl::StrCat("entry ", i, " is stale");
        const std::optional<DaemonRun> chosen = each.membership->brokerFor(service());
        if (broker && chosen != broker)
            return absl::StrCat("entry ", i, " chose another broker");
        broker = chosen;
        if (each.reported.size() != truth.size())
            return absl::StrCat("entry ", i, " reports ", each.reported.size(), " minions of ", truth.size());
        for (const MinionAnnouncement& known : each.registry->minionsOf(service())) {
            const MinionAnnouncement& real = truth[known.minion];
            if (keyOf(known) != keyOf(real) || keyOf(each.reported[known.minion]) != keyOf(real))
                return absl::StrCat("entry ", i, " is wrong about ", known.minion.value());
        }
    }
    return "";
}

void EntryCluster::start(size_t index)
{
    Entry& started = entries_[index];
    started.settings.daemon = peers_[index].daemon;
    started.settings.dataCentre = peers_[index].dataCentre;
    started.settings.peers = peers_;
    started.incarnation = Incarnation(started.incarnation.value() + 1);
    started.membership = std::make_unique<Membership>(started.settings, started.incarnation, now_);
    started.registry = std::make_unique<MinionRegistry>(
        started.settings.dataCentre, DaemonRun { started.settings.daemon, started.incarnation }, now_);
    started.reported.clear();
    started.left.clear();
    started.latest.clear();
    started.events.clear();
}

void EntryCluster::deliver(const MessageInFlight& inFlight)
{
    Entry& to = entries_[inFlight.to];
    if (!to.isUp() || isCut(inFlight.from, inFlight.to))
        return;
    if (to.isFrozen) {
        to.held.push_back([this, inFlight] { deliver(inFlight); });
        return;
    }
    std::visit(Receiver { *to.membership, *to.registry, peers_[inFlight.from].daemon, now_ }, inFlight.message);
    flush(inFlight.to);
}

void EntryCluster::flush(size_t index)
{
    Entry& flushed = entries_[index];
    // The membership's events come first, because the registry reacts to them with messages.
    MembershipOutbox membership = flushed.membership->takeOutbox();
    for (const MembershipEvent& event : membership.events)
        take(flushed, event);
    MinionRegistryOutbox registry = flushed.registry->takeOutbox();
    for (const MinionEvent& event : registry.events)
        take(flushed, event);
    for (const Envelope& envelope : membership.messages)
        send(index, envelope);
    for (const Envelope& envelope : registry.messages)
        send(index, envelope);
}

void EntryCluster::take(Entry& taker, const MembershipEvent& event)
{
    taker.events.push_back(event);
    if (const auto* joined = std::get_if<MemberJoined>(&event); joined && joined->isNear)
        taker.registry->peerJoined(joined->run.daemon);
    if (const auto* gone = std::get_if<MemberRemoved>(&event); gone && gone->isNear)
        taker.registry->peerRemoved(gone->run.daemon);
}

void EntryCluster::take(Entry& taker, const MinionEvent& event)
{
    if (const auto* gone = std::get_if<MinionRemoved>(&event)) {
        taker.reported.erase(gone->minion);
        return;
    }
    const MinionAnnouncement& announced = std::get<MinionAnnounced>(event).announcement;
    const std::pair run { announced.minion, announced.incarnation };
    Incarnation& latest = taker.latest[announced.minion];
    if (announced.state == MinionState::Leaving)
        taker.left.insert(run);
    else if (taker.left.contains(run))
        violation_ = absl::StrCat(announced.minion.value(), " serves again after it left");
    if (announced.incarnation < latest)
        violation_ = absl::StrCat("an older run of ", announced.minion.value(), " came back");
    latest = announced.incarnation;
    taker.reported[announced.minion] = announced;
}

void EntryCluster::send(size_t from, const Envelope& envelope)
{
    const size_t to = indexOf(envelope.to);
    if (listener_)
        listener_(from, to, envelope.message);
    if (isCut(from, to) || random_.below(100) < faults_.lossPercent)
        return;
    const MessageInFlight inFlight { from, to, envelope.message };
    enqueue(inFlight);
    if (random_.below(100) < faults_.duplicatePercent)
        enqueue(inFlight);
}

void EntryCluster::enqueue(const MessageInFlight& inFlight)
{
    messagesInFlight_.emplace(now_ + latency + faults_.maxDelay * random_.unit(), inFlight);
}

void EntryCluster::announceDue()
{
    for (Minion& each : minions_) {
        if (!each.isUp || now_ < each.nextAnnouncement)
            continue;
        each.nextAnnouncement = now_ + announceInterval;
        ++each.announcement.sequence;
        if (options_.keepsHistory)
            history_.push_back(each.announcement);
        if (const std::optional<size_t> target = chooseTarget(each.announcement.dataCentre))
            announce(each.announcement, *target);
    }
}

std::optional<size_t> EntryCluster::chooseTarget(const DataCentreId& dataCentre)
{
    // The platform's load balancer skips dead entries, but not frozen or isolated ones.
    std::vector<size_t> targets;
    for (size_t i = 0; i < entries_.size(); ++i) {
        if (entries_[i].isUp() && entries_[i].settings.dataCentre == dataCentre)
            targets.push_back(i);
    }
    if (targets.empty())
        return std::nullopt;
    return targets[random_.below(targets.size())];
}

size_t EntryCluster::indexOf(const DaemonId& daemon) const
{
    return std::stoul(daemon.value().substr(sizeof("entry-") - 1));
}

} // namespace trefoilwing
