#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace trefoilwing {

/// One event of a daemon's log.
struct LogLine {
    /// Milliseconds since 1970, by the clock of the machine that wrote it.
    int64_t milliseconds = 0;
    std::string node;
    std::string event;
    /// All other fields.
    std::map<std::string, std::string> fields;

    /// @return the field's value, or an empty text.
    std::string field(const std::string& name) const;
};

/// Reads key=value pairs, of which quoted values may hold spaces. What stands before the time is skipped, as
/// collectors put words of their own there.
/// @return nothing if the text is no event.
std::optional<LogLine> parseLogLine(std::string_view text);

} // namespace trefoilwing
