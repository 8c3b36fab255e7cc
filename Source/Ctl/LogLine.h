#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace trefoilwing {

/// One parsed event of a daemon's log.
struct LogLine {
    /// Milliseconds since 1970, by the clock of the machine that wrote it.
    int64_t milliseconds = 0;
    std::string node;
    std::string event;
    /// All other fields.
    std::map<std::string, std::string> fields;

    /// @return the field's value, or an empty string.
    std::string field(const std::string& name) const;
};

/// Parses a line of key=value pairs; quoted values may contain spaces. Any prefix before "time=" is skipped,
/// since log collectors add their own.
/// @return nothing if the text isn't an event.
std::optional<LogLine> parseLogLine(std::string_view text);

} // namespace trefoilwing
