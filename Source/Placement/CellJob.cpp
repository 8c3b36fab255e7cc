#include "Placement/CellJob.h"

#include <algorithm>
#include <utility>

namespace trefoilwing {

CellJob::CellJob(JobOffer offer, DaemonId entry, absl::Time now, double lateTolerance)
    : offer_(std::move(offer))
    , entry_(std::move(entry))
    , offeredAt_(now)
    , lateAt_(now + offer_.untilLate)
    , timeoutAt_(now + offer_.untilTimeout)
    , usefulUntil_(std::min(timeoutAt_, lateAt_ + lateTolerance * offer_.untilLate))
    , spec_(std::make_shared<const std::string>(std::exchange(offer_.spec, {})))
    , tasks_(offer_.taskCount)
    , queuedCount_(offer_.taskCount)
{
}

void CellJob::setState(TaskIndex index, TaskState state)
{
    CellTask& changed = task(index);
    queuedCount_ -= changed.state_ == TaskState::Queued ? 1 : 0;
    doneCount_ -= changed.state_ == TaskState::Done ? 1 : 0;
    changed.state_ = state;
    queuedCount_ += state == TaskState::Queued ? 1 : 0;
    doneCount_ += state == TaskState::Done ? 1 : 0;
    if (state == TaskState::Queued)
        firstQueued_ = std::min<size_t>(firstQueued_, index.value() - offer_.firstTask);
}

std::optional<TaskIndex> CellJob::firstQueued()
{
    while (firstQueued_ < tasks_.size() && tasks_[firstQueued_].state_ != TaskState::Queued)
        ++firstQueued_;
    if (firstQueued_ == tasks_.size())
        return std::nullopt;
    return TaskIndex(offer_.firstTask + static_cast<uint32_t>(firstQueued_));
}

int64_t CellJob::queuedCoreMs() const
{
    return static_cast<int64_t>(queuedCount()) * offer_.need.milliCores * absl::ToInt64Milliseconds(offer_.estimate) / 1000;
}

} // namespace trefoilwing
