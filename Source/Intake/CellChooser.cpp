#include "Intake/CellChooser.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace trefoilwing {

namespace {

    /// Time of silence after which an owner gets no more jobs. Owners report their load every 30 to 250 ms.
    constexpr absl::Duration ownerTimeout = absl::Milliseconds(700);

    /// Minimum advantage of a remote data centre: covers the network round trip and the traffic between data centres.
    constexpr absl::Duration remotePenalty = absl::Milliseconds(6);

    /// Minimum advantage of splitting a job over one more cell: the job ends only when its last part does.
    constexpr absl::Duration splitPenalty = absl::Milliseconds(10);

    /// Maximum age of a report whose owner isn't late: reports come at least every 250 ms, from a pump that runs every
    /// 30 ms, and are some milliseconds on the way.
    constexpr absl::Duration maxFreshAge = absl::Milliseconds(300);

    /// Cost of each unit of time beyond maxFreshAge. An owner that has been silent for 600 ms costs 1.5 s, the time after
    /// which callers are answered whose job was lost with its owner.
    constexpr double lateReportFactor = 5;

} // namespace

absl::Duration CellChooser::noAgeCost(absl::Duration)
{
    return absl::ZeroDuration();
}

absl::Duration CellChooser::lateReportCost(absl::Duration age)
{
    return lateReportFactor * std::max(age - maxFreshAge, absl::ZeroDuration());
}

bool CellChooser::granted(const CellGrant& grant)
{
    if (!grants_.accept(grant))
        return false;
    std::erase_if(statuses_, [&](const auto& entry) { return entry.first == grant.cell || !grants_.find(entry.first); });
    return true;
}

void CellChooser::loadReceived(const CellLoad& load, absl::Time now)
{
    const CellGrant* grant = grants_.find(load.grant.cell);
    if (!grant || grant->epoch != load.grant.epoch)
        return;
    statuses_[load.grant.cell] = { load, stallFreeTime_.at(now), 0 };
}

void CellChooser::setEvacuated(const DataCentreId& dataCentre, bool isEvacuated)
{
    if (isEvacuated)
        evacuated_.insert(dataCentre);
    else
        evacuated_.erase(dataCentre);
}

bool CellChooser::isRecent(const CellStatus& status, absl::Time now) const
{
    return stallFreeTime_.at(now) - status.receivedAt < ownerTimeout;
}

bool CellChooser::hasLiveOwner(absl::Time now) const
{
    return std::any_of(statuses_.begin(), statuses_.end(), [&](const auto& entry) { return isRecent(entry.second, now); });
}

std::vector<CellChooser::Candidate> CellChooser::candidates(const ServiceId& service, int64_t taskMilliCores, uint32_t priority, absl::Time now)
{
    std::vector<Candidate> found;
    for (const auto& [cell, grant] : grants_.all()) {
        const auto status = statuses_.find(cell);
        if (cell.service != service || evacuated_.contains(cell.dataCentre) || status == statuses_.end() || !isRecent(status->second, now))
            continue;
        const CellLoad& load = status->second.load;
        Candidate candidate { &grant, &status->second, 0, ageCost_(stallFreeTime_.at(now) - status->second.receivedAt), 0 };
        const int64_t free = load.freeMilliCores - status->second.sentMilliCores;
        candidate.freePlaces = taskMilliCores > 0 ? std::floor(static_cast<double>(free) / static_cast<double>(taskMilliCores)) : std::numeric_limits<double>::infinity();
        // Queued tasks of lower priority are placed after this job.
        for (size_t each = 0; each < load.queuedTasks.size() && each <= priority; ++each)
            candidate.freePlaces -= load.queuedTasks[each];
        found.push_back(candidate);
    }
    return found;
}

absl::Duration CellChooser::marginalCost(const Candidate& candidate, bool isFirst) const
{
    absl::Duration cost = candidate.ageCost + (candidate.grant->cell.dataCentre == home_ ? absl::ZeroDuration() : remotePenalty);
    if (!isFirst && candidate.taskCount == 0)
        cost += splitPenalty;
    const double queuePosition = candidate.taskCount + 1 - candidate.freePlaces;
    if (queuePosition <= 0)
        return cost;
    const double rate = candidate.status->load.completionsPerSecond;
    return rate > 0 ? cost + absl::Seconds(queuePosition / rate) : absl::InfiniteDuration();
}

std::vector<CellShare> CellChooser::choose(const ServiceId& service, const ResourceVector& need, uint32_t taskCount, uint32_t priority, absl::Time now)
{
    std::vector<Candidate> found = candidates(service, need.milliCores, priority, now);
    if (found.empty())
        return {};
    for (uint32_t i = 0; i < taskCount; ++i) {
        const auto best = std::min_element(found.begin(), found.end(), [&](const Candidate& a, const Candidate& b) { return marginalCost(a, i == 0) < marginalCost(b, i == 0); });
        ++best->taskCount;
    }
    std::vector<CellShare> shares;
    for (const Candidate& each : found) {
        if (each.taskCount == 0)
            continue;
        each.status->sentMilliCores += need.milliCores * each.taskCount;
        shares.push_back({ *each.grant, each.taskCount });
    }
    return shares;
}

std::optional<CellGrant> CellChooser::chooseAgain(const RejectedPart& part, absl::Time now)
{
    const Candidate* best = nullptr;
    absl::Duration bestCost = absl::InfiniteDuration();
    std::vector<Candidate> found = candidates(part.service, part.need.milliCores, part.priority, now);
    for (Candidate& each : found) {
        const CellId& cell = each.grant->cell;
        if (part.offeredCells.contains(cell) || part.evacuated.contains(cell.dataCentre))
            continue;
        // The part starts with its last task.
        each.taskCount = part.taskCount - 1;
        const absl::Duration cost = marginalCost(each, true);
        if (cost <= part.maxWait && cost < bestCost) {
            best = &each;
            bestCost = cost;
        }
    }
    if (!best)
        return std::nullopt;
    best->status->sentMilliCores += part.need.milliCores * part.taskCount;
    return *best->grant;
}

} // namespace trefoilwing
