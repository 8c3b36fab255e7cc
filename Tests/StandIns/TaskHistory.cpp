#include "StandIns/TaskHistory.h"

namespace trefoilwing {

bool TaskHistory::admit(const DaemonRun& run, const TaskStart& start)
{
    const AttemptKey key { run, start.attempt };
    if (attempts_.contains(key) || (!start.isIdempotent && tasks_.contains(start.task)))
        return false;
    attempts_[key] = CancelReply::Running;
    if (!start.isIdempotent)
        tasks_[start.task] = CancelReply::Running;
    return true;
}

void TaskHistory::end(const DaemonRun& run, const TaskStart& start)
{
    attempts_[{ run, start.attempt }] = CancelReply::Ended;
    if (!start.isIdempotent)
        tasks_[start.task] = CancelReply::Ended;
}

CancelReply TaskHistory::cancel(const DaemonRun& run, const CancelOrder& order)
{
    const auto attempt = attempts_.find({ run, order.attempt });
    if (attempt != attempts_.end())
        return attempt->second;
    const auto task = tasks_.emplace(order.task, CancelReply::Fenced).first;
    attempts_[{ run, order.attempt }] = task->second;
    return task->second;
}

} // namespace trefoilwing
