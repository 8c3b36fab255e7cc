#pragma once

#include "Ctl/LogLine.h"

#include <set>
#include <string>
#include <vector>

namespace trefoilwing {

/// Collects what the logs of all daemons say of one request, and of the job that it brought.
class RequestTrace {
public:
    /// @param id of the request, or of its job.
    explicit RequestTrace(std::string id);

    /// Takes a line into account.
    void add(const LogLine&);

    /// @return the request's lines, in the order of their times.
    std::vector<LogLine> lines() const;

    /// @return in a sentence each, how the request ended and what on its way explains that.
    std::vector<std::string> findings() const;

private:
    bool concerns(const LogLine&) const;

    const std::string id_;
    /// The jobs that the id names or brought.
    std::set<std::string> jobs_;
    /// All lines that name a request or a job: a job may be known only from a later line.
    std::vector<LogLine> candidates_;
};

} // namespace trefoilwing
