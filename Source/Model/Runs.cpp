#include "Model/Runs.h"

#include "Base/StableHash.h"

#include <absl/strings/str_cat.h>

namespace trefoilwing {

std::string nameOf(const CellId& cell)
{
    return cell.part.count <= 1 ? cell.dataCentre.value() : absl::StrCat(cell.dataCentre.value(), "/", cell.part.index + 1, "of", cell.part.count);
}

bool isInCell(const MinionReport& report, const CellId& cell)
{
    return report.pool == cell.pool() && (cell.part.count <= 1 || stableHash(report.instance.minion.value()) % cell.part.count == cell.part.index);
}

bool shareAddress(const MinionReport& a, const MinionReport& b)
{
    return a.endpoint == b.endpoint && a.pool.service == b.pool.service && a.instance.minion != b.instance.minion;
}

bool contradicts(const MinionReport& report, const MinionReport& known)
{
    const bool hasMoved = report.endpoint != known.endpoint && report.instance.startTime > MinionStartTime(0);
    return report.instance == known.instance && (report.pool != known.pool || hasMoved);
}

} // namespace trefoilwing
