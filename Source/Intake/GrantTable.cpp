#include "Intake/GrantTable.h"

#include <algorithm>

namespace trefoilwing {

bool GrantTable::accept(const CellGrant& grant)
{
    const auto isOfOtherDivision = [&](const auto& entry) { return entry.first.pool() == grant.cell.pool() && entry.first.part.count != grant.cell.part.count; };
    const bool isOutdated = std::any_of(grants_.begin(), grants_.end(), [&](const auto& entry) {
        return (entry.first == grant.cell && entry.second.epoch >= grant.epoch) || (isOfOtherDivision(entry) && entry.second.epoch > grant.epoch);
    });
    if (isOutdated)
        return false;
    std::erase_if(grants_, isOfOtherDivision);
    grants_[grant.cell] = grant;
    return true;
}

bool GrantTable::isOfEarlierDivision(const CellGrant& grant) const
{
    return std::any_of(grants_.begin(), grants_.end(), [&](const auto& entry) {
        return entry.first.pool() == grant.cell.pool() && entry.first.part.count != grant.cell.part.count && entry.second.epoch > grant.epoch;
    });
}

const CellGrant* GrantTable::find(const CellId& cell) const
{
    const auto found = grants_.find(cell);
    return found == grants_.end() ? nullptr : &found->second;
}

} // namespace trefoilwing
