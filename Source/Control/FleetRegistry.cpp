#include "Control/FleetRegistry.h"

#include <algorithm>

namespace trefoilwing {

namespace {

    /// An update that isn't confirmed within this time is sent again. Heartbeats, which confirm updates, are up to
    /// 1 s apart.
    constexpr absl::Duration newsRepeat = absl::Milliseconds(1500);

    /// A daemon that is up to date still gets an update this often, as the keeper's heartbeat.
    constexpr absl::Duration signOfLife = absl::Seconds(2);

    /// Time without a heartbeat after which a daemon's record is removed.
    constexpr absl::Duration daemonLife = absl::Seconds(5);

    /// Maximum number of departures kept for daemons that are behind.
    constexpr size_t maxDepartures = 500;

    bool isSameToOthers(const MinionReport& a, const MinionReport& b)
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
    const bool isChange = entry.number == 0 || !isSameToOthers(entry.report, report);
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

bool FleetRegistry::heartbeatReceived(const DaemonHeartbeat& pulse, absl::Time now)
{
    HeardDaemon& daemon = daemons_[pulse.run.daemon];
    if (daemon.note.run.incarnation > pulse.run.incarnation)
        return false;
    const DaemonInfo note { pulse.run, pulse.dataCentre, pulse.isEntry, pulse.isDraining };
    const bool isNews = daemon.note != note;
    if (isNews) {
        if (daemon.note.run != note.run)
            daemon = {};
        if (daemon.note.run.daemon.value().empty())
            daemon.since = now;
        daemon.note = note;
        daemonsNumber_ = ++number_;
    }
    if (now - daemon.heardAt > daemonSilence)
        daemon.steadySince = now;
    daemon.heardAt = now;
    daemon.routing = pulse.routing;
    daemon.milliCores = pulse.milliCores > 0 ? pulse.milliCores : defaultMilliCores;
    daemon.hasNews = pulse.ackedKeeper == self_.incarnation ? pulse.ackedUpdate : 0;
    if (std::erase_if(daemons_, [&](const auto& entry) { return now - entry.second.heardAt > daemonLife; }) > 0)
        daemonsNumber_ = ++number_;
    return isNews;
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
    std::vector<std::pair<DaemonId, FleetUpdate>> news;
    for (auto& [id, daemon] : daemons_) {
        const bool lacksSome = daemon.hasNews < number_ || daemon.routing < routing_.version;
        const bool isUnderWay = daemon.sentNews == number_ && now - daemon.sentAt < newsRepeat;
        if ((!lacksSome || isUnderWay) && now - daemon.sentAt < signOfLife)
            continue;
        news.emplace_back(id, newsFor(daemon));
        daemon.sentNews = number_;
        daemon.sentAt = now;
    }
    return news;
}

FleetUpdate FleetRegistry::newsFor(const HeardDaemon& daemon) const
{
    FleetUpdate news;
    news.keeper = self_.incarnation;
    news.isLeading = isLeading_;
    news.number = number_;
    news.since = daemon.hasNews;
    if (daemon.routing < routing_.version)
        news.routing = routing_;
    if (daemon.hasNews < grantsNumber_)
        news.grants = grants_;
    for (const auto& [id, entry] : minions_) {
        if (entry.number > daemon.hasNews)
            news.minions.push_back(entry.report);
    }
    for (const Departure& departure : departures_) {
        if (departure.number > daemon.hasNews)
            news.gone.push_back(departure.instance);
    }
    if (daemon.hasNews < daemonsNumber_) {
        news.daemons.emplace();
        for (const auto& [id, other] : daemons_)
            news.daemons->push_back(other.note);
    }
    return news;
}

} // namespace trefoilwing
