#pragma once

#include "Model/FleetMessages.h"

#include <map>

namespace trefoilwing {

/// The newest known grant of each cell. Grants may arrive late, repeated and in any order.
class GrantTable {
public:
    /// Records a grant. A pool has one division into cells at a time, that of its newest grant; cells of an earlier
    /// division are removed.
    /// @return whether the grant is newer than the known one.
    bool accept(const CellGrant&);

    /// @return whether the pool of a grant is divided into other cells by a newer grant.
    bool isOfEarlierDivision(const CellGrant&) const;

    /// @return the newest grant of a cell; null if none is known.
    const CellGrant* find(const CellId&) const;
    const std::map<CellId, CellGrant>& all() const { return grants_; }

private:
    std::map<CellId, CellGrant> grants_;
};

} // namespace trefoilwing
