#include "Intake/CellChooser.h"

#include <algorithm>

namespace trefoilwing {

namespace {

    /// An owner that was silent for longer isn't sent jobs. Owners tell their load every 40 to 250 ms.
    constexpr absl::Duration ownerSilence = absl::Milliseconds(700);

    /// What another data centre must be better by: the way there and back, and the bytes between data centres.
    constexpr absl::Duration remoteCost = absl::Milliseconds(6);

} // namespace

void CellChooser::granted(const CellGrant& grant)
{
    CellGrant& known = grants_[grant.cell];
    if (grant.epoch <= known.epoch)
        return;
    known = grant;
    standings_.erase(grant.cell);
}

void CellChooser::loadHeard(const CellLoad& load, absl::Time now)
{
    const auto grant = grants_.find(load.grant.cell);
    if (grant == grants_.end() || grant->second.epoch != load.grant.epoch)
        return;
    standings_[load.grant.cell] = { load, now, 0, 0 };
}

bool CellChooser::hearsAnyOwner(absl::Time now) const
{
    return std::any_of(standings_.begin(), standings_.end(), [&](const auto& entry) { return now - entry.second.heardAt < ownerSilence; });
}

absl::Duration CellChooser::expectedWait(const Standing& standing, int64_t milliCores, int64_t coreMs) const
{
    const int64_t free = standing.load.freeMilliCores - standing.sentMilliCores;
    const int64_t queued = standing.load.queuedCoreMs + standing.sentCoreMs;
    if (free >= milliCores && standing.load.queuedCoreMs == 0)
        return absl::ZeroDuration();
    if (standing.load.totalMilliCores == 0)
        return absl::InfiniteDuration();
    return absl::Milliseconds((queued + coreMs) * 1000 / standing.load.totalMilliCores);
}

std::optional<CellGrant> CellChooser::choose(const ServiceId& service, const Room& need, uint32_t taskCount, absl::Duration estimate,
    const std::optional<CellId>& excluded, absl::Time now)
{
    const int64_t milliCores = need.milliCores * taskCount;
    const int64_t coreMs = milliCores * absl::ToInt64Milliseconds(estimate) / 1000;
    const CellGrant* best = nullptr;
    absl::Duration bestWait = absl::InfiniteDuration();
    for (const auto& [cell, grant] : grants_) {
        const auto standing = standings_.find(cell);
        if (cell.service != service || cell == excluded || standing == standings_.end() || now - standing->second.heardAt >= ownerSilence)
            continue;
        absl::Duration wait = expectedWait(standing->second, milliCores, coreMs);
        if (cell.dataCentre != home_)
            wait += remoteCost;
        if (!best || wait < bestWait) {
            best = &grant;
            bestWait = wait;
        }
    }
    if (!best)
        return std::nullopt;
    standings_[best->cell].sentMilliCores += milliCores;
    standings_[best->cell].sentCoreMs += coreMs;
    return *best;
}

} // namespace trefoilwing
