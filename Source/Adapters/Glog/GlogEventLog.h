#pragma once

#include "Ports/EventLog.h"

#include <string>

namespace trefoilwing {

/// Writes events through glog. A process has at most one.
class GlogEventLog : public EventLog {
public:
    /// @param program names the log files.
    /// @param folder where the log files go; empty: standard error.
    GlogEventLog(const std::string& program, const std::string& folder);
    ~GlogEventLog() override;

    GlogEventLog(const GlogEventLog&) = delete;
    GlogEventLog& operator=(const GlogEventLog&) = delete;

    void write(Severity, std::string_view event, std::initializer_list<LogField> fields) override;

private:
    /// glog keeps the pointer that it is initialised with.
    std::string program_;
};

} // namespace trefoilwing
