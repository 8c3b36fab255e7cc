#include "Control/HeldReports.h"

namespace trefoilwing {

namespace {

    /// Maximum number of reports held.
    constexpr size_t maxHeldReports = 5000;

    /// Time after which a report that wasn't repeated is dropped; a minion reports several times within it.
    constexpr absl::Duration heldReportLifetime = absl::Seconds(10);

} // namespace

bool HeldReports::add(const MinionReport& report, absl::Time now)
{
    const std::pair key { report.pool.service, report.instance.minion };
    const auto known = reports_.find(key);
    if (known != reports_.end()) {
        if (isLater(report, known->second.report))
            known->second = { report, now };
        return false;
    }
    if (reports_.size() >= maxHeldReports)
        removeExpired(now);
    if (reports_.size() >= maxHeldReports)
        return false;
    reports_.emplace(key, Held { report, now });
    return true;
}

void HeldReports::remove(const MinionId& minion)
{
    std::erase_if(reports_, [&](const auto& entry) { return entry.first.second == minion; });
}

std::vector<MinionReport> HeldReports::take(const std::set<ServiceId>& services, absl::Time now)
{
    removeExpired(now);
    std::vector<MinionReport> taken;
    std::erase_if(reports_, [&](const auto& entry) {
        const bool isNamed = services.contains(entry.first.first);
        if (isNamed)
            taken.push_back(entry.second.report);
        return isNamed;
    });
    return taken;
}

void HeldReports::removeExpired(absl::Time now)
{
    std::erase_if(reports_, [&](const auto& entry) { return now - entry.second.receivedAt > heldReportLifetime; });
}

} // namespace trefoilwing
