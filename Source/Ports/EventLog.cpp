#include "Ports/EventLog.h"

#include <absl/strings/escaping.h>

#include <algorithm>

namespace trefoilwing {

namespace {

    bool needsQuotes(const std::string& value)
    {
        return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char c) {
            return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f;
        });
    }

} // namespace

std::string formatEvent(std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = "event=";
    line.append(event);
    for (const LogField& field : fields) {
        line.append(" ").append(field.key).append("=");
        line.append(needsQuotes(field.value) ? "\"" + absl::Utf8SafeCEscape(field.value) + "\"" : field.value);
    }
    return line;
}

} // namespace trefoilwing
