#pragma once

#include <absl/strings/str_cat.h>

#include <initializer_list>
#include <string>
#include <string_view>

namespace trefoilwing {

/// One key=value pair of a log line.
struct LogField {
    std::string key;
    std::string value;

    LogField(std::string fieldKey, std::string fieldValue)
        : key(std::move(fieldKey))
        , value(std::move(fieldValue))
    {
    }
    LogField(std::string fieldKey, uint64_t fieldValue)
        : LogField(std::move(fieldKey), absl::StrCat(fieldValue))
    {
    }
};

enum class Severity {
    Info,
    Warning,
    Error,
};

/// A log of events, each written as one line of key=value pairs.
class EventLog {
public:
    virtual ~EventLog() = default;

    virtual void write(Severity, std::string_view event, std::initializer_list<LogField> fields) = 0;

    /// @return the number of lines dropped because the queue of unwritten
    /// lines was full; 0 for a log without a queue limit.
    virtual uint64_t dropped() const { return 0; }
};

/// @return the line "event=NAME key=value ...". Values are quoted if they
/// are empty or contain blanks, quotes, backslashes,
/// equals signs or control characters.
std::string formatEvent(std::string_view event, std::initializer_list<LogField> fields);

} // namespace trefoilwing
