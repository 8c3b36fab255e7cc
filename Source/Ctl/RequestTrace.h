#pragma once

#include "Ctl/LogLine.h"

#include <set>
#include <string>
#include <vector>

namespace trefoilwing {

/// Collects the log lines of all daemons about one request and the job that it submitted.
class RequestTrace {
public:
    /// @param id the id of the request or of its job.
    explicit RequestTrace(std::string id);

    /// Adds a line, of this request or any other.
    void add(const LogLine&);

    /// @return the request's lines, sorted by time.
    std::vector<LogLine> lines() const;

    /// @return how the request ended and which events explain it, one sentence each.
    std::vector<std::string> findings() const;

private:
    bool belongsToRequest(const LogLine&) const;

    const std::string id_;
    /// Ids of the jobs that belong to the request; the given id itself may be one.
    std::set<std::string> jobs_;
    /// All lines that name a request or a job. They are filtered at the end, since a later line may be the one that
    /// links a job to the request.
    std::vector<LogLine> candidates_;
};

} // namespace trefoilwing
