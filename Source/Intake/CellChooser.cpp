#include "Intake/CellChooser.h"

#include <algorithm>
#include <numeric>

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

std::vector<CellChooser::Candidate> CellChooser::candidates(
    const ServiceId& service, int64_t taskMilliCores, uint32_t taskCount, absl::Duration estimate, absl::Time now)
{
    const int64_t milliCores = taskMilliCores * taskCount;
    const int64_t coreMs = milliCores * absl::ToInt64Milliseconds(estimate) / 1000;
    std::vector<Candidate> found;
    for (const auto& [cell, grant] : grants_) {
        const auto standing = standings_.find(cell);
        if (cell.service != service || standing == standings_.end() || now - standing->second.heardAt >= ownerSilence)
            continue;
        absl::Duration wait = expectedWait(standing->second, milliCores, coreMs);
        if (cell.dataCentre != home_)
            wait += remoteCost;
        const int64_t free = standing->second.load.queuedCoreMs > 0 ? 0 : standing->second.load.freeMilliCores - standing->second.sentMilliCores;
        const int64_t freeTasks = taskMilliCores > 0 ? std::clamp<int64_t>(free / taskMilliCores, 0, taskCount) : taskCount;
        found.push_back({ &grant, &standing->second, wait, static_cast<uint32_t>(freeTasks) });
    }
    return found;
}

std::vector<CellShare> CellChooser::choose(const ServiceId& service, const Room& need, uint32_t taskCount, absl::Duration estimate, absl::Time now)
{
    std::vector<Candidate> found = candidates(service, need.milliCores, taskCount, estimate, now);
    if (found.empty())
        return {};
    const auto best = std::min_element(found.begin(), found.end(), [](const Candidate& a, const Candidate& b) { return a.wait < b.wait; });
    const uint32_t freeTasks = std::accumulate(found.begin(), found.end(), 0U, [](uint32_t sum, const Candidate& each) { return sum + each.freeTasks; });
    if (best->freeTasks >= taskCount || freeTasks < taskCount) {
        best->freeTasks = taskCount;
        found = { *best };
    }
    // The fewest cells, so that few parts can come late.
    std::stable_sort(found.begin(), found.end(), [](const Candidate& a, const Candidate& b) { return a.freeTasks > b.freeTasks; });
    std::vector<CellShare> shares;
    uint32_t left = taskCount;
    for (const Candidate& each : found) {
        const uint32_t share = std::min(left, each.freeTasks);
        if (share == 0)
            break;
        left -= share;
        each.standing->sentMilliCores += need.milliCores * share;
        each.standing->sentCoreMs += need.milliCores * share * absl::ToInt64Milliseconds(estimate) / 1000;
        shares.push_back({ *each.grant, share });
    }
    return shares;
}

} // namespace trefoilwing
