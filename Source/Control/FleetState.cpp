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

std::vector<SnapshotPiece> FleetState::snapshot() const
{
    FleetPiece piece { routing_, {} };
    for (const auto& [cell, grant] : grants_)
        piece.grants.push_back(grant);
    return { piece };
}

void FleetState::restore(const std::vector<SnapshotPiece>& pieces)
{
    routing_ = {};
    grants_.clear();
    for (const SnapshotPiece& piece : pieces) {
        const auto* fleet = std::get_if<FleetPiece>(&piece);
        if (!fleet)
            continue;
        routing_ = fleet->routing;
        for (const CellGrant& grant : fleet->grants)
            grants_[grant.cell] = grant;
    }
}

} // namespace trefoilwing
