#pragma once

#include <map>
#include <string>

namespace trefoilwing {

/// The number of starts and ends of each task of one submission, from the minions' execution log.
struct StartRecord {
    std::map<std::string, int> starts;
    std::map<std::string, int> ends;

    /// Reads the records of the tasks whose id begins with the prefix, e.g. "service/backer/key/".
    static StartRecord read(const std::string& logFile, const std::string& taskPrefix);

    /// @return the first task that started twice, or an empty text.
    std::string duplicateStarts() const;
};

} // namespace trefoilwing
