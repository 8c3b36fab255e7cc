#include "Control/FleetRegistry.h"

#include <algorithm>

namespace trefoilwing {

namespace {

    /// An update that isn't confirmed within this time is sent again. Heartbeats, which confirm updates, are
    /// at most 250 ms apart for the leading keeper and 500 ms for the others.
    constexpr absl::Duration updateRetryInterval = absl::Milliseconds(1500);

    /// A daemon that is up to date still gets an update this often, as the keeper's heartbeat.
    constexpr absl::Duration keepaliveInterval = absl::Seconds(2);

    /// Time without a heartbeat after which a daemon's record is removed.
    constexpr absl::Duration daemonRetention = absl::Seconds(5);

    /// Maximum number of departures kept for daemons that are behind.
    constexpr size_t maxDepartures = 500;

    bool hasSameContent(const MinionReport& a, const MinionReport& b)
    {
        return a.instance == b.instance && a.pool == b.pool && a.endpoint == b.endpoint && a.capacity == b.capacity && a.labels == b.labels && a.state == b.state;
    }

} // namespace

bool FleetRegistry::minionReported(const MinionReport& report)
{
    addPool(report.pool);
    Entry& entry = minions_[report.instance.minion];
    if (entry.number > 0 && !isLater(report, entry.report))
        return false;
    if (entry.number > 0)
        --pools_[entry.report.pool];
    ++pools_[report.pool];
    const bool isChange = entry.number == 0 || !hasSameContent(entry.report, report);
    entry.report = report;
    if (isChange)
        entry.number = ++number_;
    return isChange;
}

std::optional<MinionInstance> FleetRegistry::minionLeft(const MinionId& minion)
{
    const auto found = minions_.find(minion);
    if (found == minions_.end())
        return std::nullopt;
    const MinionInstance instance = found->second.report.instance;
    departures_.push_back({ instance, ++number_ });
    if (departures_.size() > maxDepartures)
        departures_.erase(departures_.begin());
    --pools_[found->second.report.pool];
    minions_.erase(found);
    return instance;
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
        daemonsNumber_ = ++number_;
    }
    if (now - daemon.lastHeartbeatAt > daemonTimeout)
        daemon.steadySince = now;
    daemon.lastHeartbeatAt = now;
    daemon.routing = heartbeat.routing;
    daemon.milliCores = heartbeat.milliCores > 0 ? heartbeat.milliCores : defaultMilliCores;
    daemon.lastAckedUpdate = heartbeat.ackedKeeper == self_.incarnation ? heartbeat.ackedUpdate : 0;
    if (std::erase_if(daemons_, [&](const auto& entry) { return now - entry.second.lastHeartbeatAt > daemonRetention; }) > 0)
        daemonsNumber_ = ++number_;
    return isChanged;
}

void FleetRegistry::setLeading(bool isLeading)
{
    isLeading_ = isLeading;
    ++number_;
}

void FleetRegistry::setRouting(const RoutingDocument& routing)
{
    routing_ = routing;
    ++number_;
}

void FleetRegistry::setGrants(std::vector<CellGrant> grants)
{
    grants_ = std::move(grants);
    grantsNumber_ = ++number_;
}

std::vector<std::pair<DaemonId, FleetUpdate>> FleetRegistry::takeUpdates(absl::Time now)
{
    std::vector<std::pair<DaemonId, FleetUpdate>> updates;
    for (auto& [id, daemon] : daemons_) {
        const bool isBehind = daemon.lastAckedUpdate < number_ || daemon.routing < routing_.version;
        const bool isInFlight = daemon.lastSentUpdate == number_ && now - daemon.sentAt < updateRetryInterval;
        if ((!isBehind || isInFlight) && now - daemon.sentAt < keepaliveInterval)
            continue;
        updates.emplace_back(id, updateFor(daemon));
        daemon.lastSentUpdate = number_;
        daemon.sentAt = now;
    }
    return updates;
}

FleetUpdate FleetRegistry::updateFor(const TrackedDaemon& daemon) const
{
    FleetUpdate update;
    update.keeper = self_.incarnation;
    update.isLeading = isLeading_;
    update.number = number_;
    update.since = daemon.lastAckedUpdate;
    if (daemon.routing < routing_.version)
        update.routing = routing_;
    if (daemon.lastAckedUpdate < grantsNumber_)
        update.grants = grants_;
    for (const auto& [id, entry] : minions_) {
        if (entry.number > daemon.lastAckedUpdate)
            update.minions.push_back(entry.report);
    }
    for (const Departure& departure : departures_) {
        if (departure.number > daemon.lastAckedUpdate)
            update.gone.push_back(departure.instance);
    }
    if (daemon.lastAckedUpdate < daemonsNumber_) {
        update.daemons.emplace();
        for (const auto& [id, other] : daemons_)
            update.daemons->push_back(other.info);
    }
    return update;
}

} // namespace trefoilwing
