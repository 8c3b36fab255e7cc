#include "Record.h"

namespace review {

Record::Record(const std::string& file)
    : file_(file)
{
}

int64_t Record::now() const
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - start_).count();
}

void Record::write(const std::string& line)
{
    const std::lock_guard lock(mutex_);
    file_ << now() << " ms  " << line << std::endl;
}

void TaskWatch::began(const std::string& task, const std::string& minion, uint64_t run)
{
    const std::lock_guard lock(mutex_);
    auto& runs = running_[task];
    std::string others;
    for (const auto& [other, since] : runs)
        others += " on " + other + " since " + std::to_string(since) + " ms";
    runs[minion] = record_.now();
    duplicates_ += others.empty() ? 0 : 1;
    record_.write("task " + task + " run " + std::to_string(run) + " begins on " + minion + (others.empty() ? "" : "  TWICE: it also runs" + others));
}

void TaskWatch::ended(const std::string& task, const std::string& minion, uint64_t run, const std::string& how)
{
    const std::lock_guard lock(mutex_);
    running_[task].erase(minion);
    record_.write("task " + task + " run " + std::to_string(run) + " ends on " + minion + ": " + how);
}

size_t TaskWatch::duplicates() const
{
    const std::lock_guard lock(mutex_);
    return duplicates_;
}

size_t TaskWatch::runningOf(const std::string& job) const
{
    const std::lock_guard lock(mutex_);
    size_t count = 0;
    for (const auto& [task, runs] : running_)
        count += task.compare(0, job.size(), job) == 0 ? runs.size() : 0;
    return count;
}

} // namespace review
