#include "Intake/CellChooser.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace trefoilwing {

namespace {

    /// An owner that was silent for longer isn't sent jobs. Owners tell their load every 40 to 250 ms.
    constexpr absl::Duration ownerSilence = absl::Milliseconds(700);

    /// What another data centre must be better by: the way there and back, and the bytes between data centres.
    constexpr absl::Duration remoteCost = absl::Milliseconds(6);

    /// What one more part of a job must be better by: a job ends with its last part.
    constexpr absl::Duration splitCost = absl::Milliseconds(10);

} // namespace

bool CellChooser::granted(const CellGrant& grant)
{
    // A pool is divided in one way at a time: the way of its newest grant.
    const auto isOfOtherDivision = [&](const auto& entry) { return entry.first.pool() == grant.cell.pool() && entry.first.part.count != grant.cell.part.count; };
    for (const auto& entry : grants_) {
        if (isOfOtherDivision(entry) && entry.second.epoch > grant.epoch)
            return false;
    }
    std::erase_if(grants_, isOfOtherDivision);
    std::erase_if(standings_, isOfOtherDivision);
    CellGrant& known = grants_[grant.cell];
    if (grant.epoch <= known.epoch)
        return false;
    known = grant;
    standings_.erase(grant.cell);
    return true;
}

void CellChooser::loadHeard(const CellLoad& load, absl::Time now)
{
    const auto grant = grants_.find(load.grant.cell);
    if (grant == grants_.end() || grant->second.epoch != load.grant.epoch)
        return;
    standings_[load.grant.cell] = { load, running_.at(now), 0 };
}

bool CellChooser::isHeard(const Standing& standing, absl::Time now) const
{
    return running_.at(now) - standing.heardAt < ownerSilence;
}

bool CellChooser::hearsAnyOwner(absl::Time now) const
{
    return std::any_of(standings_.begin(), standings_.end(), [&](const auto& entry) { return isHeard(entry.second, now); });
}

std::vector<CellChooser::Candidate> CellChooser::candidates(const ServiceId& service, int64_t taskMilliCores, uint32_t priority, absl::Time now)
{
    std::vector<Candidate> found;
    for (const auto& [cell, grant] : grants_) {
        const auto standing = standings_.find(cell);
        if (cell.service != service || standing == standings_.end() || !isHeard(standing->second, now))
            continue;
        const CellLoad& load = standing->second.load;
        Candidate candidate { &grant, &standing->second, 0, 0 };
        const int64_t free = load.freeMilliCores - standing->second.sentMilliCores;
        candidate.placesAhead = taskMilliCores > 0 ? std::floor(static_cast<double>(free) / static_cast<double>(taskMilliCores)) : std::numeric_limits<double>::infinity();
        // Tasks of lower priority that wait there let this one pass.
        for (size_t each = 0; each < load.queuedTasks.size() && each <= priority; ++each)
            candidate.placesAhead -= load.queuedTasks[each];
        found.push_back(candidate);
    }
    return found;
}

absl::Duration CellChooser::costOfOneMore(const Candidate& candidate, bool isFirst) const
{
    absl::Duration cost = candidate.grant->cell.dataCentre == home_ ? absl::ZeroDuration() : remoteCost;
    if (!isFirst && candidate.taskCount == 0)
        cost += splitCost;
    const double behind = candidate.taskCount + 1 - candidate.placesAhead;
    if (behind <= 0)
        return cost;
    const double rate = candidate.standing->load.completionsPerSecond;
    return rate > 0 ? cost + absl::Seconds(behind / rate) : absl::InfiniteDuration();
}

std::vector<CellShare> CellChooser::choose(const ServiceId& service, const ResourceVector& need, uint32_t taskCount, uint32_t priority, absl::Time now)
{
    std::vector<Candidate> found = candidates(service, need.milliCores, priority, now);
    if (found.empty())
        return {};
    for (uint32_t i = 0; i < taskCount; ++i) {
        const auto best = std::min_element(found.begin(), found.end(), [&](const Candidate& a, const Candidate& b) { return costOfOneMore(a, i == 0) < costOfOneMore(b, i == 0); });
        ++best->taskCount;
    }
    std::vector<CellShare> shares;
    for (const Candidate& each : found) {
        if (each.taskCount == 0)
            continue;
        each.standing->sentMilliCores += need.milliCores * each.taskCount;
        shares.push_back({ *each.grant, each.taskCount });
    }
    return shares;
}

} // namespace trefoilwing
