#include "Intake/FleetView.h"

#include <algorithm>
#include <set>

namespace trefoilwing {

namespace {

    /// The notes of a keeper that was silent for longer don't count any more.
    constexpr absl::Duration noteLife = absl::Seconds(5);

    /// Signs of life to keepers that don't lead come with every so many of the others.
    constexpr uint64_t pulsesToFollowers = 2;

    /// Keepers that live are heard every 2 s at the least.
    constexpr absl::Duration keeperSilence = absl::Milliseconds(2500);

    /// A keeper that was silent for longer is gone for good: its minions have reported to others long since, and
    /// cuts are shorter.
    constexpr absl::Duration keeperLife = absl::Seconds(20);

} // namespace

FleetView::FleetView(std::vector<DaemonId> seeds)
    : seeds_(std::move(seeds))
{
}

FleetChange FleetView::receive(const DaemonId& keeper, const FleetUpdate& news, absl::Time now)
{
    FleetChange change;
    heardAt_ = now;
    KeeperNews& known = news_[keeper];
    if (known.run > news.keeper)
        return change;
    if (known.run != news.keeper)
        known = {};
    known.run = news.keeper;
    known.isLeading = news.isLeading;
    // News that were meant for an earlier run of this daemon leave out what this run lacks.
    if (news.since <= known.number)
        known.number = std::max(known.number, news.number);
    if (news.daemons)
        known.daemons = *news.daemons;
    known.heardAt = now;
    for (const MinionInstance& instance : news.gone)
        dropMinion(instance, change);
    for (const MinionReport& report : news.minions)
        takeMinion(report, change);
    if (news.routing && news.routing->version > routing_) {
        routing_ = news.routing->version;
        change.routing = news.routing;
    }
    return change;
}

bool FleetView::takeMinion(const MinionReport& report, FleetChange& change)
{
    const auto left = left_.find(report.instance.minion);
    if (left != left_.end() && report.instance.startTime <= left->second)
        return false;
    const auto known = minions_.find(report.instance.minion);
    if (known != minions_.end() && !isLater(report, known->second))
        return false;
    // Only the newest life can be at an address.
    std::vector<MinionInstance> replaced;
    for (const auto& [id, other] : minions_) {
        if (id != report.instance.minion && other.endpoint == report.endpoint) {
            if (other.instance.startTime > report.instance.startTime)
                return false;
            replaced.push_back(other.instance);
        }
    }
    for (const MinionInstance& instance : replaced)
        dropMinion(instance, change);
    minions_[report.instance.minion] = report;
    change.minions.push_back(report);
    return true;
}

void FleetView::dropMinion(const MinionInstance& instance, FleetChange& change)
{
    MinionStartTime& left = left_[instance.minion];
    left = std::max(left, instance.startTime);
    const auto known = minions_.find(instance.minion);
    if (known == minions_.end() || known->second.instance != instance)
        return;
    change.gone.push_back(known->second);
    minions_.erase(known);
}

void FleetView::describe(const DaemonId& keeper, DaemonHeartbeat& pulse) const
{
    const auto known = news_.find(keeper);
    pulse.routing = routing_;
    pulse.ackedKeeper = known == news_.end() ? Incarnation(0) : known->second.run;
    pulse.ackedUpdate = known == news_.end() ? 0 : known->second.number;
}

std::vector<std::pair<DaemonId, DaemonHeartbeat>> FleetView::nextPulses(const DaemonHeartbeat& own)
{
    const bool isForAll = ++pulses_ % pulsesToFollowers == 0;
    std::vector<std::pair<DaemonId, DaemonHeartbeat>> pulses;
    for (const DaemonId& keeper : keepers()) {
        if (!isForAll && !isLeading(keeper))
            continue;
        pulses.emplace_back(keeper, own);
        describe(keeper, pulses.back().second);
    }
    return pulses;
}

bool FleetView::isLeading(const DaemonId& keeper) const
{
    const auto known = news_.find(keeper);
    // One that hasn't been heard may lead.
    return known == news_.end() || known->second.isLeading;
}

std::vector<DaemonId> FleetView::keepers() const
{
    std::set<DaemonId> keepers(seeds_.begin(), seeds_.end());
    for (const auto& [keeper, news] : news_) {
        keepers.insert(keeper);
        for (const DaemonInfo& note : news.daemons) {
            if (!note.isEntry)
                keepers.insert(note.run.daemon);
        }
    }
    return { keepers.begin(), keepers.end() };
}

bool FleetView::isComplete(absl::Time now) const
{
    const std::vector<DaemonId> all = keepers();
    return std::all_of(all.begin(), all.end(), [&](const DaemonId& keeper) {
        const auto known = news_.find(keeper);
        if (known == news_.end() || known->second.number == 0)
            return false;
        const absl::Duration silence = now - known->second.heardAt;
        return silence < keeperSilence || silence > keeperLife;
    });
}

std::map<DaemonId, DataCentreId> FleetView::entries() const
{
    std::map<DaemonId, DataCentreId> entries;
    for (const auto& [keeper, news] : news_) {
        if (news.heardAt + noteLife < heardAt_)
            continue;
        for (const DaemonInfo& note : news.daemons) {
            if (note.isEntry)
                entries.emplace(note.run.daemon, note.dataCentre);
        }
    }
    return entries;
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
