#include "Placement/CapacityModel.h"

#include "Placement/PlacementForecast.h"

#include <algorithm>
#include <numeric>

namespace trefoilwing {

namespace {

    /// Number of sizes that are packed, and the number of queued tasks among which one that fits is looked for. A queue
    /// at a peak holds more tasks; looking among twice as many adds about 1 %.
    constexpr size_t sampleCount = 64;
    constexpr size_t queueLookahead = 16;
    /// The sizes are ordered anew by this stride, which has no common divisor with their number, so that tasks of one
    /// route aren't neighbours.
    constexpr size_t sampleStride = 37;

    /// Number of arrivals after which the sizes are taken anew.
    constexpr uint64_t sampleInterval = 8;

    /// A late answer is worth a fifth of one in time.
    constexpr double lateJobsWorthOneInTime = 5;

    double workOf(const JobArrival& arrival)
    {
        return static_cast<double>(arrival.need.milliCores) / 1000 * arrival.taskCount * absl::ToDoubleSeconds(arrival.estimate);
    }

    /// @return the number of sizes in this sample that are seen as one job's share of the work.
    std::vector<int64_t> sampleSizes(const std::vector<JobArrival>& arrivals)
    {
        const double total = std::accumulate(arrivals.begin(), arrivals.end(), 0.0, [](double sum, const JobArrival& each) { return sum + workOf(each); });
        std::vector<int64_t> sizes;
        if (total <= 0)
            return sizes;
        sizes.resize(sampleCount);
        double passed = 0;
        size_t arrival = 0;
        for (size_t i = 0; i < sampleCount; ++i) {
            const double position = total * (static_cast<double>(i) + 0.5) / sampleCount;
            while (arrival + 1 < arrivals.size() && passed + workOf(arrivals[arrival]) < position)
                passed += workOf(arrivals[arrival++]);
            sizes[i * sampleStride % sampleCount] = arrivals[arrival].need.milliCores;
        }
        return sizes;
    }

    void addArrivals(PlacementForecast& forecast, const ArrivalHistory& history, const JobOrder& order, uint32_t leastUrgent, absl::Time now)
    {
        for (const uint32_t priority : history.priorities()) {
            if (priority < leastUrgent)
                forecast.addArrivals(history.lastOf(priority), history.jobsPerSecond(priority, now), order, now);
        }
    }

} // namespace

CapacityModel::CapacityModel(const DispatchPolicy& policy, absl::Time now)
    : policy_(policy)
    , history_(now)
{
}

void CapacityModel::jobArrived(const JobOffer& offer, absl::Time now)
{
    history_.record(offer, now);
    if (history_.count() > sampleInterval && history_.count() % sampleInterval != 0)
        return;
    sizes_ = sampleSizes(history_.lastOfAll());
    usable_.clear();
}

int64_t CapacityModel::packedMilliCores(int64_t capacity, size_t lookahead) const
{
    int64_t sum = 0;
    for (size_t first = 0; first < sizes_.size(); ++first) {
        int64_t free = capacity;
        for (size_t i = 0; i < sizes_.size(); ++i) {
            const int64_t size = sizes_[(first + i) % sizes_.size()];
            if (size <= 0)
                continue;
            if (size <= free)
                free -= size;
            else if (i >= lookahead)
                break;
        }
        sum += capacity - free;
    }
    return sum / static_cast<int64_t>(sizes_.size());
}

int64_t CapacityModel::usableMilliCores(int64_t capacity) const
{
    if (sizes_.empty() || capacity <= 0)
        return std::max<int64_t>(capacity, 0);
    const auto [found, isNew] = usable_.try_emplace(capacity);
    if (isNew)
        found->second = packedMilliCores(capacity, queueLookahead);
    return found->second;
}

int64_t CapacityModel::startableMilliCores(int64_t free) const
{
    return sizes_.empty() || free <= 0 ? std::max<int64_t>(free, 0) : packedMilliCores(free, 0);
}

double CapacityModel::completionRate(const CellState& state) const
{
    double rate = 0;
    for (const auto& [id, minion] : state.minions) {
        if (minion->isUsable(state.now))
            rate += static_cast<double>(usableMilliCores(minion->report().capacity.milliCores)) / 1000 / minion->slowness();
    }
    return rate;
}

double CapacityModel::meanWork(uint32_t priority) const
{
    const std::vector<JobArrival>& last = history_.lastOf(priority);
    const double work = std::accumulate(last.begin(), last.end(), 0.0, [](double sum, const JobArrival& each) { return sum + workOf(each); });
    return last.empty() ? 0 : work / static_cast<double>(last.size());
}

double CapacityModel::arrivalRate(uint32_t priority, absl::Time now) const
{
    return history_.jobsPerSecond(priority, now) * meanWork(priority);
}

double CapacityModel::competingRate(const JobOffer& offer, absl::Time now) const
{
    const double work = workOf({ offer.need, offer.taskCount, offer.estimate, offer.untilLate, offer.priority });
    double rate = 0;
    for (const uint32_t priority : history_.priorities()) {
        if (priority <= offer.priority || meanWork(priority) < work * lateJobsWorthOneInTime)
            rate += arrivalRate(priority, now);
    }
    return rate;
}

int64_t CapacityModel::startableTasks(const CellState& state, const ResourceVector& need, int64_t limit)
{
    int64_t tasks = 0;
    for (const auto& [id, minion] : state.minions) {
        if (tasks >= limit)
            break;
        if (!minion->isUsable(state.now) || !minion->allowsStart(state.now))
            continue;
        ResourceVector free = minion->free();
        for (; tasks < limit && free.holds(need); ++tasks)
            free -= need;
    }
    return tasks;
}

bool CapacityModel::hasUsableMinion(const CellState& state)
{
    return std::any_of(state.minions.begin(), state.minions.end(), [&](const auto& entry) { return entry.second->isUsable(state.now); });
}

std::vector<JobForecast> CapacityModel::forecastQueue(const CellState& state) const
{
    PlacementForecast forecast(state.minions, policy_, state.now);
    uint32_t leastUrgent = 0;
    for (CellJob& job : state.jobs) {
        if (job.queuedCount() == 0)
            continue;
        forecast.add(job, state.rank(job), job.hasStarted ? job.timeoutAt() : job.usefulUntil());
        leastUrgent = std::max(leastUrgent, job.offer().priority);
    }
    addArrivals(forecast, history_, state.order, leastUrgent, state.now);
    return forecast.run();
}

JobForecast CapacityModel::forecast(const CellState& state, CellJob& job, absl::Time limit) const
{
    PlacementForecast forecast(state.minions, policy_, state.now);
    const double rank = state.rank(job);
    for (CellJob& other : state.jobs) {
        if (&other == &job || other.queuedCount() == 0)
            continue;
        if (const double otherRank = state.rank(other); otherRank <= rank)
            forecast.add(other, otherRank, other.hasStarted ? other.timeoutAt() : other.usefulUntil());
    }
    forecast.add(job, rank, limit);
    addArrivals(forecast, history_, state.order, job.offer().priority, state.now);
    return forecast.runFor(job);
}

} // namespace trefoilwing
