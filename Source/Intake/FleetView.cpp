#include "Intake/FleetView.h"

#include <algorithm>
#include <set>
#include <utility>

namespace trefoilwing {

namespace {

    /// Time of silence after which the list of daemons from a keeper is ignored.
    constexpr absl::Duration daemonListLifetime = absl::Seconds(5);

    /// Keepers that don't lead get one heartbeat for this number of heartbeats to the leading keeper.
    constexpr uint64_t followerHeartbeatPeriod = 2;

    /// Time of silence after which a keeper is presumed unreachable; a live one sends at least every 2 s.
    constexpr absl::Duration keeperTimeout = absl::Milliseconds(2500);

    /// Time of silence after which a keeper is presumed dead for good: network partitions are shorter, and its minions
    /// have reported to other keepers long before.
    constexpr absl::Duration keeperRetention = absl::Seconds(20);

} // namespace

FleetView::FleetView(std::vector<DaemonId> seeds)
    : seeds_(std::move(seeds))
{
    deriveLists();
}

void FleetView::setSeeds(std::vector<DaemonId> seeds)
{
    seeds_ = std::move(seeds);
    deriveLists();
}

FleetChange FleetView::receive(const DaemonId& keeper, const FleetUpdate& update, absl::Time now)
{
    FleetChange change;
    lastUpdateAt_ = now;
    KeeperState& known = keeperStates_[keeper];
    if (known.run > update.keeper)
        return change;
    const bool isNewRun = known.run != update.keeper;
    if (isNewRun)
        known = {};
    known.run = update.keeper;
    known.isLeading = update.isLeading;
    change.missed = known.updateNumber(update);
    known.newestGrant = std::max(known.newestGrant, update.newestGrant);
    known.awaitsReports = update.awaitsReports;
    known.lastUpdateAt = now;
    const bool areDaemonsChanged = known.updateDaemons(update) || isNewRun;
    if (areDaemonsChanged || currentKeepers_ != std::count_if(keeperStates_.begin(), keeperStates_.end(), [&](const auto& entry) { return isCurrent(entry.second); }))
        deriveLists();
    // Reports come first: they say which minion took the place of one that is gone.
    for (const MinionReport& report : update.minions)
        applyReport(report, change);
    for (const MinionInstance& instance : update.gone)
        removeMinion(instance, std::nullopt, change);
    for (const Evacuation& evacuation : update.evacuations)
        applyEvacuation(evacuation, change);
    if (update.table && update.table->version > routing_) {
        routing_ = update.table->version;
        change.table = update.table;
    }
    if (update.routing && update.routing->version > routing_) {
        routing_ = update.routing->version;
        change.routing = update.routing;
    }
    return change;
}

std::optional<MissedUpdates> FleetView::KeeperState::updateNumber(const FleetUpdate& update)
{
    // An update that is based on a later one than the last received shows that some were lost, or were meant for an earlier
    // incarnation of this daemon.
    if (update.since > number)
        return std::exchange(hasGap, true) ? std::nullopt : std::make_optional(MissedUpdates { number, update.since });
    number = std::max(number, update.number);
    hasGap = false;
    return std::nullopt;
}

bool FleetView::KeeperState::updateDaemons(const FleetUpdate& update)
{
    if (update.daemons) {
        daemons.clear();
        for (const DaemonInfo& info : *update.daemons)
            daemons[info.run.daemon] = info;
    }
    for (const DaemonInfo& info : update.changedDaemons)
        daemons[info.run.daemon] = info;
    for (const DaemonId& lost : update.lostDaemons)
        daemons.erase(lost);
    return update.daemons || !update.changedDaemons.empty() || !update.lostDaemons.empty();
}

bool FleetView::isCurrent(const KeeperState& state) const
{
    return state.lastUpdateAt + daemonListLifetime >= lastUpdateAt_;
}

void FleetView::deriveLists()
{
    std::set<DaemonId> keepers(seeds_.begin(), seeds_.end());
    entries_.clear();
    currentKeepers_ = 0;
    for (const auto& [keeper, state] : keeperStates_) {
        keepers.insert(keeper);
        currentKeepers_ += isCurrent(state) ? 1 : 0;
        for (const auto& [id, info] : state.daemons) {
            if (!info.isEntry)
                keepers.insert(id);
            else if (isCurrent(state))
                entries_.emplace(id, info.dataCentre);
        }
    }
    keepers_.assign(keepers.begin(), keepers.end());
}

bool FleetView::applyReport(const MinionReport& report, FleetChange& change)
{
    const auto departed = departed_.find(report.instance.minion);
    if (departed != departed_.end() && report.instance.startTime <= departed->second)
        return false;
    const auto known = minions_.find(report.instance.minion);
    if (known != minions_.end() && (contradicts(report, known->second) || !isLater(report, known->second)))
        return false;
    std::vector<MinionInstance> replaced;
    for (const auto& [id, other] : minions_) {
        if (shareAddress(report, other)) {
            if (other.instance.startTime > report.instance.startTime)
                return false;
            replaced.push_back(other.instance);
        }
    }
    // A minion that has restarted for another service has left its pool.
    if (known != minions_.end() && known->second.pool != report.pool)
        change.removed.push_back({ known->second, report.instance.minion });
    for (const MinionInstance& instance : replaced)
        removeMinion(instance, report.instance.minion, change);
    minions_[report.instance.minion] = report;
    change.minions.push_back(report);
    return true;
}

void FleetView::removeMinion(const MinionInstance& instance, std::optional<MinionId> replacedBy, FleetChange& change)
{
    MinionStartTime& departed = departed_[instance.minion];
    departed = std::max(departed, instance.startTime);
    const auto known = minions_.find(instance.minion);
    if (known == minions_.end() || known->second.instance != instance)
        return;
    change.removed.push_back({ known->second, std::move(replacedBy) });
    minions_.erase(known);
}

void FleetView::applyEvacuation(const Evacuation& evacuation, FleetChange& change)
{
    Evacuation& known = evacuations_[evacuation.dataCentre];
    // A keeper that is behind may send an earlier state.
    if (evacuation.revision <= known.revision)
        return;
    known = evacuation;
    change.evacuations.push_back(evacuation);
}

Evacuation FleetView::evacuationOf(const DataCentreId& dataCentre) const
{
    const auto known = evacuations_.find(dataCentre);
    return known == evacuations_.end() ? Evacuation { dataCentre, {}, false } : known->second;
}

void FleetView::acknowledgeUpdates(const DaemonId& keeper, DaemonHeartbeat& heartbeat) const
{
    const auto known = keeperStates_.find(keeper);
    heartbeat.routing = routing_;
    heartbeat.ackedKeeper = known == keeperStates_.end() ? Incarnation(0) : known->second.run;
    heartbeat.ackedUpdate = known == keeperStates_.end() ? 0 : known->second.number;
    heartbeat.lacksUpdates = known != keeperStates_.end() && known->second.hasGap;
}

std::vector<std::pair<DaemonId, DaemonHeartbeat>> FleetView::nextHeartbeats(const DaemonHeartbeat& own)
{
    const bool isForAll = ++heartbeatRounds_ % followerHeartbeatPeriod == 0;
    std::vector<std::pair<DaemonId, DaemonHeartbeat>> heartbeats;
    for (const DaemonId& keeper : keepers_) {
        if (!isForAll && !isLeading(keeper))
            continue;
        heartbeats.emplace_back(keeper, own);
        acknowledgeUpdates(keeper, heartbeats.back().second);
    }
    return heartbeats;
}

bool FleetView::isLeading(const DaemonId& keeper) const
{
    const auto known = keeperStates_.find(keeper);
    // A keeper that hasn't sent any update yet may be the leading one.
    return known == keeperStates_.end() || known->second.isLeading;
}

bool FleetView::isComplete(absl::Time now, OwnerEpoch grant) const
{
    return std::all_of(keepers_.begin(), keepers_.end(), [&](const DaemonId& keeper) {
        const auto known = keeperStates_.find(keeper);
        if (known == keeperStates_.end() || known->second.number == 0 || known->second.hasGap)
            return false;
        const absl::Duration silence = now - known->second.lastUpdateAt;
        return (silence < keeperTimeout && known->second.newestGrant >= grant && !known->second.awaitsReports) || silence > keeperRetention;
    });
}

std::vector<MinionReport> FleetView::minionsOf(const CellId& cell) const
{
    std::vector<MinionReport> reports;
    for (const auto& [id, report] : minions_) {
        if (isInCell(report, cell))
            reports.push_back(report);
    }
    return reports;
}

} // namespace trefoilwing
