#pragma once

#include "Ports/EventLog.h"

#include <string>

namespace trefoilwing {

/// Writes events through glog. A process can have at most one instance.
class GlogEventLog : public EventLog {
public:
    /// @param program the program name, which becomes part of the names of the log files.
    /// @param folder the folder of the log files; if empty, events go to standard error.
    GlogEventLog(const std::string& program, const std::string& folder);
    ~GlogEventLog() override;

    GlogEventLog(const GlogEventLog&) = delete;
    GlogEventLog& operator=(const GlogEventLog&) = delete;

    void write(Severity, std::string_view event, std::initializer_list<LogField> fields) override;

private:
    /// glog keeps a pointer to this string, so it must live as long as the log.
    std::string program_;
};

} // namespace trefoilwing
