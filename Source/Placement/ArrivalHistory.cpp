#include "Placement/ArrivalHistory.h"

#include <algorithm>

namespace trefoilwing {

namespace {

    /// Bursts last for some seconds and begin at once, so the rate of a longer period would be out of date.
    constexpr absl::Duration window = absl::Seconds(1);
    /// Time that is taken to have passed at least since the first record, so that one job isn't a high rate.
    constexpr absl::Duration minPeriod = absl::Milliseconds(200);

    /// Number of jobs whose demands are kept. The error of a mean of sizes that vary by a fifth is then under 2 %.
    constexpr size_t ringSize = 64;

    /// Maximum number of priorities that are told apart; routes use only a few, and higher numbers count as the last.
    constexpr uint32_t maxPriority = 7;

    /// The window divided by the number of slots.
    constexpr absl::Duration slotDuration = absl::Milliseconds(100);

    int64_t slotNumber(absl::Time now)
    {
        return absl::ToUnixNanos(now) / absl::ToInt64Nanoseconds(slotDuration);
    }

} // namespace

void ArrivalHistory::Ring::add(const JobArrival& arrival)
{
    if (jobs.size() < ringSize)
        jobs.push_back(arrival);
    else
        jobs[next] = arrival;
    next = (next + 1) % ringSize;
}

void ArrivalHistory::record(const JobOffer& offer, absl::Time now)
{
    const JobArrival arrival { offer.need, offer.taskCount, offer.estimate, offer.untilLate, std::min(offer.priority, maxPriority) };
    ByPriority& history = byPriority_[arrival.priority];
    history.last.add(arrival);
    last_.add(arrival);
    ++count_;
    const int64_t number = slotNumber(now);
    Slot& slot = history.slots[static_cast<size_t>(number) % slotCount];
    if (slot.number != number)
        slot = { number, 0 };
    ++slot.jobs;
}

double ArrivalHistory::jobsPerSecond(uint32_t priority, absl::Time now) const
{
    const auto found = byPriority_.find(std::min(priority, maxPriority));
    if (found == byPriority_.end())
        return 0;
    const int64_t number = slotNumber(now);
    uint64_t jobs = 0;
    for (const Slot& slot : found->second.slots) {
        if (slot.number > number - static_cast<int64_t>(slotCount))
            jobs += slot.jobs;
    }
    // The current slot has only begun.
    const absl::Duration inSlot = now - absl::FromUnixNanos(number * absl::ToInt64Nanoseconds(slotDuration));
    const absl::Duration period = std::clamp(now - since_, minPeriod, window - slotDuration + inSlot);
    return static_cast<double>(jobs) / absl::ToDoubleSeconds(period);
}

const std::vector<JobArrival>& ArrivalHistory::lastOf(uint32_t priority) const
{
    static const std::vector<JobArrival> none;
    const auto found = byPriority_.find(std::min(priority, maxPriority));
    return found == byPriority_.end() ? none : found->second.last.jobs;
}

std::vector<uint32_t> ArrivalHistory::priorities() const
{
    std::vector<uint32_t> found;
    for (const auto& [priority, history] : byPriority_)
        found.push_back(priority);
    return found;
}

} // namespace trefoilwing
