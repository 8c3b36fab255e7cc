#include "StandIns/ExecutionLog.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <array>

#include <fcntl.h>
#include <unistd.h>

namespace trefoilwing {

namespace {

    constexpr mode_t fileMode = 0644;
    constexpr std::array<const char*, 3> statusNames { "succeeded", "failed", "not_run" };

    std::string describe(const TaskId& task, const DaemonRun& run, AttemptId attempt, const MinionId& minion)
    {
        const SubmissionKey& id = task.submission;
        return absl::StrCat(id.service.value(), "/", id.backer.value(), "/", id.key.value(), "/", task.index.value(), " ",
            run.daemon.value(), ":", run.incarnation.value(), ":", attempt.value(), " ", minion.value(), " ",
            absl::ToUnixMillis(absl::Now()));
    }

} // namespace

ExecutionLog::ExecutionLog(const std::string& path)
{
    if (!path.empty())
        file_ = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, fileMode);
}

ExecutionLog::~ExecutionLog()
{
    if (file_ >= 0)
        close(file_);
}

void ExecutionLog::started(const TaskId& task, const DaemonRun& run, AttemptId attempt, const MinionId& minion)
{
    append(absl::StrCat("start ", describe(task, run, attempt, minion), "\n"));
}

void ExecutionLog::ended(const TaskId& task, const DaemonRun& run, AttemptId attempt, const MinionId& minion, TaskStatus status)
{
    append(absl::StrCat("end ", describe(task, run, attempt, minion), " ", statusNames[static_cast<size_t>(status)], "\n"));
}

void ExecutionLog::append(const std::string& line)
{
    // One write() for each line keeps the lines of several processes intact. A log with missing lines would hide duplicate
    // starts, so a failed write aborts the process.
    if (file_ >= 0 && write(file_, line.data(), line.size()) != static_cast<ssize_t>(line.size()))
        abort();
}

} // namespace trefoilwing
