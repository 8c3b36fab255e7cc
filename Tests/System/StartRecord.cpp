#include "System/StartRecord.h"

#include <fstream>

namespace trefoilwing {

StartRecord StartRecord::read(const std::string& logFile, const std::string& taskPrefix)
{
    StartRecord record;
    std::ifstream log(logFile);
    std::string event;
    std::string task;
    std::string rest;
    while (log >> event >> task && std::getline(log, rest)) {
        if (task.compare(0, taskPrefix.size(), taskPrefix) == 0)
            ++(event == "start" ? record.starts : record.ends)[task];
    }
    return record;
}

std::string StartRecord::duplicateStarts() const
{
    for (const auto& [task, count] : starts) {
        if (count > 1)
            return task;
    }
    return {};
}

} // namespace trefoilwing
