#pragma once

#include "Model/MinionBatches.h"

#include <string>

namespace trefoilwing {

/// Appends a line to a file for each start and each end of a task. The lines survive a crash of the process.
///
/// The lines are "start TASK ATTEMPT MINION TIME" and "end TASK ATTEMPT MINION TIME STATUS", where TASK is
/// service/backer/key/index, ATTEMPT is daemon:incarnation:number and TIME is in milliseconds since 1970.
class ExecutionLog {
public:
    /// @param path the file to append to; nothing is logged if it is empty.
    explicit ExecutionLog(const std::string& path);
    ~ExecutionLog();

    ExecutionLog(const ExecutionLog&) = delete;
    ExecutionLog& operator=(const ExecutionLog&) = delete;

    void started(const TaskId&, const DaemonRun&, AttemptId, const MinionId&);
    void ended(const TaskId&, const DaemonRun&, AttemptId, const MinionId&, TaskStatus);

private:
    void append(const std::string& line);

    int file_ = -1;
};

} // namespace trefoilwing
