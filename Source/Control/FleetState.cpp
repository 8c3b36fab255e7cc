#include "Control/FleetState.h"

namespace trefoilwing {

bool FleetState::apply(const RoutingRecord& record)
{
    if (record.document.version <= routing_.version)
        return false;
    routing_ = record.document;
    return true;
}

bool FleetState::apply(const GrantRecord& record, LogIndex index)
{
    CellGrant& grant = grants_[record.cell];
    if (grant.epoch != record.previous)
        return false;
    grant = { record.cell, record.owner, OwnerEpoch(index.value()) };
    return true;
}

bool FleetState::apply(const MinionRecord& record)
{
    MinionReport& known = minions_[record.report.life.minion];
    if (!isLater(record.report, known))
        return false;
    known = record.report;
    // An address belongs to the newest life that reported from it.
    std::erase_if(minions_, [&](const auto& entry) {
        const MinionReport& other = entry.second;
        return other.endpoint == record.report.endpoint && other.life.minion != record.report.life.minion && other.life.birth <= record.report.life.birth;
    });
    return true;
}

bool FleetState::apply(const MinionGoneRecord& record)
{
    const auto known = minions_.find(record.life.minion);
    if (known == minions_.end() || known->second.life != record.life)
        return false;
    minions_.erase(known);
    return true;
}

std::vector<SnapshotPiece> FleetState::snapshot() const
{
    FleetPiece piece { routing_, {}, {} };
    for (const auto& [id, report] : minions_)
        piece.minions.push_back(report);
    for (const auto& [cell, grant] : grants_)
        piece.grants.push_back(grant);
    return { piece };
}

void FleetState::restore(const std::vector<SnapshotPiece>& pieces)
{
    routing_ = {};
    grants_.clear();
    minions_.clear();
    for (const SnapshotPiece& piece : pieces) {
        const auto* fleet = std::get_if<FleetPiece>(&piece);
        if (!fleet)
            continue;
        routing_ = fleet->routing;
        for (const CellGrant& grant : fleet->grants)
            grants_[grant.cell] = grant;
        for (const MinionReport& report : fleet->minions)
            minions_[report.life.minion] = report;
    }
}

} // namespace trefoilwing
