#include "Dispatch/Job.h"

#include <utility>

namespace trefoilwing {

Job::Job(JobNumber number, Submission submission, absl::Time accepted)
    : number_(number)
    , submission_(std::move(submission))
    , accepted_(accepted)
    , outputs_(submission_.tasks.size())
{
    for (uint32_t index = 0; index < submission_.tasks.size(); ++index)
        waiting_[submission_.tasks[index].kind].push_back(TaskIndex { index });
}

const TaskSpec& Job::task(TaskIndex index) const
{
    return submission_.tasks.at(index.value());
}

void Job::markDecided()
{
    isDecided_ = true;
    // Nothing more is sent for this job, so its payloads and partial outputs are released.
    waiting_.clear();
    outputs_.clear();
    for (TaskSpec& task : submission_.tasks)
        task.payload.clear();
}

bool Job::mayRetry() const
{
    return submission_.isIdempotent && submission_.tasks.size() == 1;
}

bool Job::takeWaiting(const TaskKindId& kind, TaskIndex& index)
{
    const auto found = waiting_.find(kind);
    if (found == waiting_.end())
        return false;
    index = found->second.front();
    found->second.pop_front();
    if (found->second.empty())
        waiting_.erase(found);
    return true;
}

void Job::returnToWaiting(TaskIndex index)
{
    waiting_[task(index).kind].push_front(index);
}

uint32_t Job::waitingCount() const
{
    size_t count = 0;
    for (const auto& [kind, tasks] : waiting_)
        count += tasks.size();
    return static_cast<uint32_t>(count);
}

bool Job::complete(TaskIndex index, std::string output)
{
    outputs_.at(index.value()) = std::move(output);
    ++endedTasks_;
    ++completedTasks_;
    return completedTasks_ == outputs_.size();
}

Verdict Job::verdict(uint32_t openAttempts) const
{
    if (endedTasks_ == submission_.tasks.size())
        return Verdict::Ran;
    const bool mayHaveRun = mayHaveStarted_ || endedTasks_ > 0 || openAttempts > 0;
    return mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun;
}

JobAnswer Job::takeAnswer()
{
    return JobAnswer { std::move(outputs_) };
}

} // namespace trefoilwing
