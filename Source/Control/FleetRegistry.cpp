#include "Control/FleetRegistry.h"

#include <algorithm>

namespace trefoilwing {

namespace {

    /// An update that isn't confirmed within this time is sent again. Heartbeats, which confirm updates, are
    /// at most 250 ms apart for the leading keeper and 500 ms for the others.
    constexpr absl::Duration updateRetryInterval = absl::Milliseconds(1500);

    /// A daemon that is up to date still gets an update this often, as the keeper's heartbeat.
    constexpr absl::Duration keepaliveInterval = absl::Seconds(2);

    /// Minimum interval between updates to one daemon that hold no urgent change. When many minions and daemons start
    /// at once, their changes are sent together.
    constexpr absl::Duration minUpdateInterval = absl::Milliseconds(50);

    /// Time in which a keeper of an entry's own data centre has the entry confirm a routing table, before the other
    /// keepers send it too: the transfer, and the next heartbeat, which is at most 500 ms away.
    constexpr absl::Duration routingBackupDelay = absl::Seconds(1);

    /// Maximum total number of routes in the routing tables that are sent and not yet confirmed; 60 bytes each.
    constexpr uint64_t maxRoutesInFlight = 256U << 10U;

    /// Time without a heartbeat after which a daemon's record is removed.
    constexpr absl::Duration daemonRetention = absl::Seconds(5);

    /// Maximum number of departed minions and of lost daemons kept for daemons that are behind.
    constexpr size_t maxDepartures = 500;
    constexpr size_t maxLostDaemons = 500;

    /// A change that the replicated log still lacks is proposed again after this time.
    constexpr absl::Duration proposalRetryInterval = absl::Seconds(1);

    /// Minimum interval between comparisons with the log, and the maximum number of reports proposed after one. Together they
    /// bound the size of the log when hundreds of minions have reported while there was no leader.
    constexpr absl::Duration comparisonInterval = absl::Milliseconds(500);
    constexpr size_t maxProposedReports = 64;

    bool hasSameContent(const MinionReport& a, const MinionReport& b)
    {
        return a.instance == b.instance && a.pool == b.pool && a.endpoint == b.endpoint && a.capacity == b.capacity && a.labels == b.labels && a.state == b.state && a.hasLeft == b.hasLeft;
    }

} // namespace

ReportOutcome FleetRegistry::minionReported(const MinionReport& report, absl::Time now)
{
    if (const MinionReport* known = findReport(report.instance.minion); known && contradicts(report, *known))
        return ReportOutcome::Contradictory;
    if (!mayTake(report))
        return heldReports_.add(report, now) ? ReportOutcome::Held : ReportOutcome::StillHeld;
    return takeReport(report, now) ? ReportOutcome::Changed : ReportOutcome::Unchanged;
}

std::vector<MinionReport> FleetRegistry::setServices(std::set<ServiceId> services, absl::Time now)
{
    services_ = std::move(services);
    std::vector<MinionReport> taken = heldReports_.take(services_, now);
    std::erase_if(taken, [&](const MinionReport& report) { return !takeReport(report, now); });
    return taken;
}

bool FleetRegistry::mayTake(const MinionReport& report) const
{
    if (services_.contains(report.pool.service))
        return true;
    const MinionReport* known = findReport(report.instance.minion);
    return known && known->instance == report.instance;
}

const MinionReport* FleetRegistry::findReport(const MinionId& minion) const
{
    const auto found = minions_.find(minion);
    return found == minions_.end() ? nullptr : &found->second.report;
}

bool FleetRegistry::isAddressReused(const MinionReport& report) const
{
    return std::any_of(minions_.begin(), minions_.end(), [&](const auto& entry) {
        const MinionReport& other = entry.second.report;
        return shareAddress(report, other) && other.instance.startTime > report.instance.startTime;
    });
}

std::vector<MinionReport> FleetRegistry::takeReplacedInOtherServices(const MinionReport& report, absl::Time now)
{
    std::vector<MinionReport> replaced;
    for (auto& [id, entry] : minions_) {
        const MinionReport& other = entry.report;
        if (other.endpoint == report.endpoint && other.pool.service != report.pool.service && other.instance.startTime < report.instance.startTime && !other.hasLeft)
            replaced.push_back(markLeft(entry, now));
    }
    return replaced;
}

const MinionReport& FleetRegistry::markLeft(Entry& entry, absl::Time now)
{
    entry.report.state = MinionState::Leaving;
    entry.report.hasLeft = true;
    entry.number = ++number_;
    entry.proposedAt = entry.leftAt = now;
    isComparisonDue_ = true;
    return entry.report;
}

bool FleetRegistry::isRemovalDue(const Entry& entry, absl::Time now) const
{
    return isLeading_ && entry.report.hasLeft && now >= entry.leftAt + departureRetention;
}

bool FleetRegistry::takeReport(const MinionReport& report, absl::Time proposedAt)
{
    const MinionReport* known = findReport(report.instance.minion);
    if (known ? contradicts(report, *known) || !isLater(report, *known) : hasLeft(report.instance) || isAddressReused(report))
        return false;
    addPool(report.pool);
    Entry& entry = minions_[report.instance.minion];
    if (entry.number > 0)
        --pools_[entry.report.pool];
    ++pools_[report.pool];
    const bool isChange = entry.number == 0 || !hasSameContent(entry.report, report);
    entry.report = report;
    if (isChange) {
        entry.number = ++number_;
        entry.proposedAt = proposedAt;
        entry.leftAt = absl::InfiniteFuture();
        isComparisonDue_ = true;
    }
    return isChange;
}

std::optional<MinionReport> FleetRegistry::minionLeft(const MinionId& minion, absl::Time now)
{
    heldReports_.remove(minion);
    const auto found = minions_.find(minion);
    if (found == minions_.end() || found->second.report.state != MinionState::Leaving || found->second.report.hasLeft)
        return std::nullopt;
    return markLeft(found->second, now);
}

void FleetRegistry::removeMinion(const MinionInstance& instance)
{
    const auto found = minions_.find(instance.minion);
    if (found == minions_.end() || found->second.report.instance != instance)
        return;
    departures_.push_back({ instance, ++number_ });
    if (departures_.size() > maxDepartures)
        departures_.pop_front();
    --pools_[found->second.report.pool];
    minions_.erase(found);
}

bool FleetRegistry::hasLeft(const MinionInstance& instance) const
{
    if (instance.startTime == MinionStartTime(0))
        return false;
    return std::any_of(departures_.begin(), departures_.end(), [&](const Departure& departure) { return departure.instance == instance; })
        || std::any_of(loggedDepartures_.begin(), loggedDepartures_.end(), [&](const MinionInstance& departed) { return departed.minion == instance.minion && departed.startTime >= instance.startTime; });
}

void FleetRegistry::setLoggedMinions(const std::map<MinionId, MinionReport>& minions, const std::deque<MinionInstance>& departed)
{
    for (const auto& [id, report] : loggedMinions_) {
        const auto kept = minions.find(id);
        if (kept == minions.end() || kept->second.instance != report.instance)
            removeMinion(report.instance);
    }
    loggedMinions_ = minions;
    if (loggedDepartures_ != departed) {
        loggedDepartures_ = departed;
        // The log may have refused a report of one of them, which this keeper took.
        for (const MinionInstance& instance : departed) {
            const MinionReport* known = findReport(instance.minion);
            if (known && known->instance.startTime > MinionStartTime(0) && known->instance.startTime <= instance.startTime)
                removeMinion(MinionInstance(known->instance));
        }
    }
    for (const auto& [id, report] : minions) {
        if (mayTake(report))
            takeReport(report, absl::InfinitePast());
    }
    isComparisonDue_ = true;
}

bool FleetRegistry::isUnlogged(const MinionReport& report) const
{
    const auto logged = loggedMinions_.find(report.instance.minion);
    if (logged == loggedMinions_.end())
        return true;
    return isLater(report, logged->second) && !contradicts(report, logged->second) && !hasSameContent(report, logged->second);
}

bool FleetRegistry::isReplacedInLog(const MinionReport& report) const
{
    return std::any_of(loggedMinions_.begin(), loggedMinions_.end(), [&](const auto& entry) {
        return shareAddress(report, entry.second) && entry.second.instance.startTime > report.instance.startTime;
    });
}

void FleetRegistry::removeReplacedMinions()
{
    std::vector<MinionInstance> replaced;
    for (const auto& [id, entry] : minions_) {
        if (!loggedMinions_.contains(id) && isReplacedInLog(entry.report))
            replaced.push_back(entry.report.instance);
    }
    for (const MinionInstance& instance : replaced)
        removeMinion(instance);
}

UnloggedChanges FleetRegistry::takeUnlogged(absl::Time now)
{
    UnloggedChanges changes;
    if (!isComparisonDue_ || now < nextComparisonAt_)
        return changes;
    nextComparisonAt_ = now + comparisonInterval;
    const auto isDue = [&](absl::Time proposedAt) { return proposedAt < leaderSince_ || now >= proposedAt + proposalRetryInterval; };
    removeReplacedMinions();
    unloggedCount_ = 0;
    bool hasDepartures = false;
    for (auto& [id, entry] : minions_) {
        if (entry.report.hasLeft) {
            hasDepartures = true;
            // The log doesn't say when it left.
            entry.leftAt = std::min(entry.leftAt, now);
        }
        if (isRemovalDue(entry, now) && isDue(entry.proposedAt)) {
            entry.proposedAt = now;
            changes.ended.push_back(entry.report.instance);
            continue;
        }
        if (!isUnlogged(entry.report))
            continue;
        ++unloggedCount_;
        if (!isDue(entry.proposedAt) || changes.reports.size() >= maxProposedReports)
            continue;
        entry.proposedAt = now;
        changes.reports.push_back(entry.report);
    }
    isComparisonDue_ = unloggedCount_ > 0 || hasDepartures;
    return changes;
}

void FleetRegistry::leaderChanged(absl::Time now)
{
    leaderSince_ = now;
    nextComparisonAt_ = absl::InfinitePast();
}

bool FleetRegistry::heartbeatReceived(const DaemonHeartbeat& heartbeat, absl::Time now)
{
    TrackedDaemon& daemon = daemons_[heartbeat.run.daemon];
    if (daemon.info.run.incarnation > heartbeat.run.incarnation)
        return false;
    const DaemonInfo info { heartbeat.run, heartbeat.dataCentre, heartbeat.isEntry, heartbeat.isDraining };
    const bool isChanged = daemon.info != info;
    if (isChanged) {
        if (daemon.info.run != info.run)
            daemon = {};
        if (daemon.info.run.daemon.value().empty())
            daemon.since = now;
        daemon.info = info;
        daemon.number = ++number_;
    }
    if (now - daemon.lastHeartbeatAt > daemonTimeout)
        daemon.steadySince = now;
    daemon.lastHeartbeatAt = now;
    daemon.routing = heartbeat.routing;
    daemon.milliCores = heartbeat.milliCores > 0 ? heartbeat.milliCores : defaultMilliCores;
    const uint64_t acked = heartbeat.ackedKeeper == self_.incarnation ? heartbeat.ackedUpdate : 0;
    // A daemon that has lost what it confirmed is sent everything again.
    if (acked < daemon.lastAckedUpdate)
        daemon.lastSentUpdate = acked;
    if (heartbeat.lacksUpdates && heartbeat.ackedKeeper == self_.incarnation)
        daemon.lastSentUpdate = std::min(daemon.lastSentUpdate, acked);
    if (acked > daemon.lastAckedUpdate)
        daemon.awaitingAckSince = now;
    daemon.lastAckedUpdate = acked;
    removeSilentDaemons(now);
    return isChanged;
}

void FleetRegistry::removeSilentDaemons(absl::Time now)
{
    std::erase_if(daemons_, [&](const auto& entry) {
        const bool isSilent = now - entry.second.lastHeartbeatAt > daemonRetention;
        if (isSilent)
            lostDaemons_.push_back({ entry.first, ++number_ });
        return isSilent;
    });
    while (lostDaemons_.size() > maxLostDaemons) {
        discardedLoss_ = lostDaemons_.front().number;
        lostDaemons_.pop_front();
    }
}

void FleetRegistry::setLeading(bool isLeading)
{
    isLeading_ = isLeading;
    urgentNumber_ = ++number_;
}

void FleetRegistry::setRouting(RoutingTable routing, absl::Time now)
{
    if (routing.version <= routing_.version)
        return;
    routing_ = std::move(routing);
    routingSetAt_ = now;
}

void FleetRegistry::setGrants(const std::map<CellId, CellGrant>& grants)
{
    std::erase_if(grants_, [&](const auto& entry) { return !grants.contains(entry.first); });
    for (const auto& [cell, grant] : grants) {
        newestGrant_ = std::max(newestGrant_, grant.epoch);
        NumberedGrant& known = grants_[cell];
        if (known.number > 0 && known.grant == grant)
            continue;
        urgentNumber_ = ++number_;
        known = { grant, number_ };
    }
}

void FleetRegistry::setEvacuations(const std::map<DataCentreId, Evacuation>& evacuations)
{
    for (const auto& [dataCentre, evacuation] : evacuations) {
        NumberedEvacuation& known = evacuations_[dataCentre];
        if (known.number > 0 && evacuation.revision <= known.evacuation.revision)
            continue;
        urgentNumber_ = ++number_;
        known = { evacuation, number_ };
    }
}

std::vector<std::pair<DaemonId, FleetUpdate>> FleetRegistry::takeUpdates(absl::Time now)
{
    std::vector<std::pair<DaemonId, FleetUpdate>> updates;
    if (reportsAwaitedUntil_ != absl::InfinitePast() && !awaitsReports(now)) {
        reportsAwaitedUntil_ = absl::InfinitePast();
        urgentNumber_ = ++number_;
    }
    uint64_t capacity = routingCapacity(now);
    for (auto& [id, daemon] : daemons_) {
        if (!isReachable(daemon, now))
            continue;
        rewindUnconfirmed(daemon, now);
        const bool isRoutingSent = capacity > 0 && isRoutingDue(daemon, now);
        const bool isUrgent = isRoutingSent || daemon.lastSentUpdate < urgentNumber_;
        const bool isDue = daemon.lastSentUpdate < number_ && now - daemon.sentAt >= minUpdateInterval;
        if (!isUrgent && !isDue && now - daemon.sentAt < keepaliveInterval)
            continue;
        updates.emplace_back(id, updateFor(daemon, now));
        if (isRoutingSent) {
            updates.back().second.table = routing_;
            daemon.sentRouting = routing_.version;
            daemon.routingSentAt = now;
            --capacity;
        }
        if (daemon.lastSentUpdate <= daemon.lastAckedUpdate)
            daemon.awaitingAckSince = now;
        daemon.lastSentUpdate = number_;
        daemon.sentAt = now;
    }
    return updates;
}

bool FleetRegistry::isReachable(const TrackedDaemon& daemon, absl::Time now) const
{
    return now - daemon.lastHeartbeatAt <= daemonTimeout;
}

bool FleetRegistry::isRoutingDue(const TrackedDaemon& daemon, absl::Time now) const
{
    // Keepers get the table from the replicated log.
    if (!daemon.info.isEntry || daemon.routing >= routing_.version)
        return false;
    if (isRoutingInFlight(daemon, now))
        return false;
    return isFirstRoutingSender(daemon, now) || now >= std::max(routingSetAt_, daemon.since) + routingBackupDelay;
}

bool FleetRegistry::isRoutingInFlight(const TrackedDaemon& daemon, absl::Time now) const
{
    return daemon.routing < routing_.version && daemon.sentRouting == routing_.version && now - daemon.routingSentAt < updateRetryInterval;
}

uint64_t FleetRegistry::routingCapacity(absl::Time now) const
{
    const uint64_t most = std::max<uint64_t>(1, maxRoutesInFlight / std::max<size_t>(1, routing_.routes.size()));
    const auto inFlight = static_cast<uint64_t>(std::count_if(daemons_.begin(), daemons_.end(), [&](const auto& entry) { return isRoutingInFlight(entry.second, now); }));
    return most - std::min(most, inFlight);
}

bool FleetRegistry::isFirstRoutingSender(const TrackedDaemon& daemon, absl::Time now) const
{
    // The map is ordered by id, so all keepers of a data centre agree on the first reachable one.
    const auto local = std::find_if(daemons_.begin(), daemons_.end(), [&](const auto& entry) {
        const TrackedDaemon& other = entry.second;
        return !other.info.isEntry && other.info.dataCentre == daemon.info.dataCentre && isReachable(other, now);
    });
    return local == daemons_.end() ? isLeading_ : local->first == self_.daemon;
}

void FleetRegistry::rewindUnconfirmed(TrackedDaemon& daemon, absl::Time now)
{
    if (daemon.lastSentUpdate > daemon.lastAckedUpdate && now - daemon.awaitingAckSince >= updateRetryInterval)
        daemon.lastSentUpdate = daemon.lastAckedUpdate;
}

FleetUpdate FleetRegistry::updateFor(const TrackedDaemon& daemon, absl::Time now) const
{
    FleetUpdate update;
    update.keeper = self_.incarnation;
    update.isLeading = isLeading_;
    update.number = number_;
    update.since = daemon.lastSentUpdate;
    update.newestGrant = newestGrant_;
    update.awaitsReports = awaitsReports(now);
    for (const auto& [cell, numbered] : grants_) {
        if (numbered.number > update.since)
            update.grants.push_back(numbered.grant);
    }
    for (const auto& [dataCentre, numbered] : evacuations_) {
        // Grants bring all evacuations with them, so that a new owner starts nothing in an evacuated data centre even if the
        // update that told it of the evacuation was lost.
        if (numbered.number > update.since || !update.grants.empty())
            update.evacuations.push_back(numbered.evacuation);
    }
    for (const Departure& departure : departures_) {
        if (departure.number > update.since)
            update.gone.push_back(departure.instance);
    }
    addMinions(daemon, update);
    addDaemons(update);
    return update;
}

void FleetRegistry::addMinions(const TrackedDaemon& daemon, FleetUpdate& update) const
{
    std::vector<const NumberedGrant*> remoteCells;
    for (const auto& [cell, numbered] : grants_) {
        if (numbered.grant.owner.daemon == daemon.info.run.daemon && cell.dataCentre != daemon.info.dataCentre)
            remoteCells.push_back(&numbered);
    }
    for (const auto& [id, entry] : minions_) {
        const MinionReport& report = entry.report;
        const bool isNew = entry.number > update.since;
        const bool isAlwaysSent = !daemon.info.isEntry || report.pool.dataCentre == daemon.info.dataCentre;
        const bool isOfRemoteCell = !isAlwaysSent && std::any_of(remoteCells.begin(), remoteCells.end(), [&report, &update, isNew](const NumberedGrant* owned) {
            return (isNew || owned->number > update.since) && isInCell(report, owned->grant.cell);
        });
        if (isAlwaysSent ? isNew : isOfRemoteCell)
            update.minions.push_back(report);
    }
}

void FleetRegistry::addDaemons(FleetUpdate& update) const
{
    if (update.since == 0 || update.since < discardedLoss_) {
        update.daemons.emplace();
        for (const auto& [id, other] : daemons_)
            update.daemons->push_back(other.info);
        return;
    }
    for (const auto& [id, other] : daemons_) {
        if (other.number > update.since)
            update.changedDaemons.push_back(other.info);
    }
    for (const LostDaemon& lost : lostDaemons_) {
        if (lost.number > update.since && !daemons_.contains(lost.daemon))
            update.lostDaemons.push_back(lost.daemon);
    }
}

} // namespace trefoilwing
