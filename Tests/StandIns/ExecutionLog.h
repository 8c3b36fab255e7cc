#pragma once

#include "Model/MinionBatches.h"

#include <string>

namespace trefoilwing {

/// Appends a line for each start and each end of a task, which survives the death of the process.
///
/// "start TASK ATTEMPT MINION TIME" and "end TASK ATTEMPT MINION TIME STATUS", where TASK is
/// service/backer/key/index, ATTEMPT is daemon:incarnation:number and TIME is milliseconds since 1970.
class ExecutionLog {
public:
    /// @param path the file to append to; empty: keep no log.
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
