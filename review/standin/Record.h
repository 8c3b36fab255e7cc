#pragma once

#include "Http.h"

#include <fstream>
#include <map>
#include <mutex>
#include <string>

namespace review {

/// The record of a case: what was sent, answered and run, with the time in milliseconds since the start.
class Record {
public:
    explicit Record(const std::string& file);

    void write(const std::string& line);
    int64_t now() const;

private:
    const Clock::time_point start_ = Clock::now();
    std::mutex mutex_;
    std::ofstream file_;
};

/// Watches the runs of all stand-in minions for tasks that run twice at the same time.
class TaskWatch {
public:
    explicit TaskWatch(Record& record)
        : record_(record)
    {
    }

    void began(const std::string& task, const std::string& minion, uint64_t run);
    void ended(const std::string& task, const std::string& minion, uint64_t run, const std::string& how);

    /// @return the number of starts of a task while another run of it was in progress.
    size_t duplicates() const;
    /// @return the number of runs in progress of a job's tasks.
    size_t runningOf(const std::string& job) const;

private:
    Record& record_;
    mutable std::mutex mutex_;
    /// For each task, the start of its runs in progress by minion.
    std::map<std::string, std::map<std::string, int64_t>> running_;
    size_t duplicates_ = 0;
};

} // namespace review
