#include "Placement/CellJob.h"

#include <algorithm>

namespace trefoilwing {

CellJob::CellJob(JobOffer offer, DaemonId entry, absl::Time now, double lateTolerance)
    : offer_(std::move(offer))
    , entry_(std::move(entry))
    , offeredAt_(now)
    , lateAt_(now + offer_.untilLate)
    , givenUpAt_(now + offer_.untilTimeout)
    , usefulUntil_(std::min(givenUpAt_, lateAt_ + lateTolerance * offer_.untilLate))
    , tasks_(offer_.taskCount)
{
}

size_t CellJob::queuedCount() const
{
    return static_cast<size_t>(std::count_if(tasks_.begin(), tasks_.end(), [](const CellTask& task) { return task.state == TaskState::Queued; }));
}

bool CellJob::isComplete() const
{
    return std::all_of(tasks_.begin(), tasks_.end(), [](const CellTask& task) { return task.state == TaskState::Done; });
}

const CellTask* CellJob::firstQueued(TaskIndex& index) const
{
    const auto found = std::find_if(tasks_.begin(), tasks_.end(), [](const CellTask& task) { return task.state == TaskState::Queued; });
    if (found == tasks_.end())
        return nullptr;
    index = TaskIndex(offer_.firstTask + static_cast<uint32_t>(found - tasks_.begin()));
    return &*found;
}

int64_t CellJob::queuedCoreMs() const
{
    return static_cast<int64_t>(queuedCount()) * offer_.need.milliCores * absl::ToInt64Milliseconds(offer_.estimate) / 1000;
}

} // namespace trefoilwing
