#include "Control/FleetState.h"

#include <algorithm>

namespace trefoilwing {

namespace {

    /// Maximum number of departed minions that are remembered, so that a late report doesn't add them again.
    constexpr size_t maxDeparted = 500;

} // namespace

bool FleetState::apply(const RoutingRecord& record)
{
    if (record.document.version <= routing_.version)
        return false;
    routing_ = record.document;
    return true;
}

bool FleetState::apply(const GrantRecord& record, LogIndex index)
{
    // A pool is only ever divided into more cells, so a grant in a coarser division is outdated.
    const bool isOvertaken = std::any_of(grants_.begin(), grants_.end(), [&](const auto& entry) {
        const CellId& other = entry.first;
        return other.pool() == record.cell.pool() && other.part.count > record.cell.part.count;
    });
    if (isOvertaken)
        return false;
    const auto known = grants_.find(record.cell);
    if ((known == grants_.end() ? OwnerEpoch(0) : known->second.epoch) != record.previous)
        return false;
    CellGrant& grant = grants_[record.cell];
    grant = { record.cell, record.owner, OwnerEpoch(index.value()) };
    // The first grant in a new division removes all grants of the earlier one, so that each minion has one owner.
    std::erase_if(grants_, [&](const auto& entry) {
        const CellId& other = entry.first;
        return other.pool() == record.cell.pool() && other.part.count != record.cell.part.count;
    });
    return true;
}

bool FleetState::apply(const MinionRecord& record)
{
    const MinionReport& report = record.report;
    const auto known = minions_.find(report.instance.minion);
    if (hasLeft(report.instance) || (known != minions_.end() && (contradicts(report, known->second) || !isLater(report, known->second))))
        return false;
    // Of several minions of a service that reported from one address, only the most recently started one is kept.
    const auto sharesAddress = [&](const auto& entry) { return shareAddress(report, entry.second); };
    if (std::any_of(minions_.begin(), minions_.end(), [&](const auto& entry) { return sharesAddress(entry) && entry.second.instance.startTime > report.instance.startTime; }))
        return false;
    std::erase_if(minions_, sharesAddress);
    minions_[report.instance.minion] = report;
    return true;
}

bool FleetState::hasLeft(const MinionInstance& instance) const
{
    // Minions that don't report their start time may return.
    return instance.startTime > MinionStartTime(0)
        && std::any_of(departed_.begin(), departed_.end(), [&](const MinionInstance& departed) { return departed.minion == instance.minion && departed.startTime >= instance.startTime; });
}

bool FleetState::apply(const MinionGoneRecord& record)
{
    // The minion's report may come after it.
    if (!hasLeft(record.instance))
        departed_.push_back(record.instance);
    if (departed_.size() > maxDeparted)
        departed_.pop_front();
    const auto known = minions_.find(record.instance.minion);
    if (known == minions_.end() || known->second.instance != record.instance)
        return false;
    minions_.erase(known);
    return true;
}

bool FleetState::apply(const EvacuationRecord& record, LogIndex index)
{
    if (evacuationOf(record.dataCentre).revision != record.previous)
        return false;
    evacuations_[record.dataCentre] = { record.dataCentre, EvacuationRevision(index.value()), record.isEvacuated };
    return true;
}

Evacuation FleetState::evacuationOf(const DataCentreId& dataCentre) const
{
    const auto known = evacuations_.find(dataCentre);
    return known == evacuations_.end() ? Evacuation { dataCentre, {}, false } : known->second;
}

std::vector<SnapshotChunk> FleetState::snapshot() const
{
    FleetChunk chunk { routing_, {}, {}, { departed_.begin(), departed_.end() }, {} };
    for (const auto& [dataCentre, evacuation] : evacuations_)
        chunk.evacuations.push_back(evacuation);
    for (const auto& [id, report] : minions_)
        chunk.minions.push_back(report);
    for (const auto& [cell, grant] : grants_)
        chunk.grants.push_back(grant);
    return { chunk };
}

void FleetState::restore(const std::vector<SnapshotChunk>& chunks)
{
    routing_ = {};
    grants_.clear();
    minions_.clear();
    departed_.clear();
    evacuations_.clear();
    for (const SnapshotChunk& chunk : chunks) {
        const auto* fleet = std::get_if<FleetChunk>(&chunk);
        if (!fleet)
            continue;
        routing_ = fleet->routing;
        for (const CellGrant& grant : fleet->grants)
            grants_[grant.cell] = grant;
        for (const MinionReport& report : fleet->minions)
            minions_[report.instance.minion] = report;
        departed_.assign(fleet->departed.begin(), fleet->departed.end());
        for (const Evacuation& evacuation : fleet->evacuations)
            evacuations_[evacuation.dataCentre] = evacuation;
    }
}

} // namespace trefoilwing
