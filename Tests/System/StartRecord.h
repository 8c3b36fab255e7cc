#pragma once

#include <map>
#include <string>

namespace trefoilwing {

/// How often each task of one submission started and ended, by the minions' execution logs.
struct StartRecord {
    std::map<std::string, int> starts;
    std::map<std::string, int> ends;

    /// Reads what a log says of the tasks whose id begins with the prefix, e.g. "service/backer/key/".
    static StartRecord read(const std::string& logFile, const std::string& taskPrefix);

    /// @return the first task that started twice, or an empty text.
    std::string startedTwice() const;
};

} // namespace trefoilwing
