#include "Ctl/LogLine.h"

#include <absl/strings/numbers.h>

namespace trefoilwing {

namespace {

    /// Removes a value, quoted or plain, from the front of the text and returns it unescaped.
    std::string takeValue(std::string_view& text)
    {
        std::string value;
        const bool isQuoted = !text.empty() && text.front() == '"';
        size_t at = isQuoted ? 1 : 0;
        for (; at < text.size() && text[at] != (isQuoted ? '"' : ' '); ++at) {
            if (isQuoted && text[at] == '\\' && at + 1 < text.size())
                ++at;
            value += text[at];
        }
        text.remove_prefix(std::min(text.size(), at + 1));
        return value;
    }

} // namespace

std::string LogLine::field(const std::string& name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

std::optional<LogLine> parseLogLine(std::string_view text)
{
    const size_t begin = text.find("time=");
    if (begin == std::string_view::npos)
        return std::nullopt;
    text.remove_prefix(begin);
    LogLine line;
    while (!text.empty()) {
        const size_t equals = text.find('=');
        if (equals == std::string_view::npos)
            break;
        std::string key(text.substr(0, equals));
        key.erase(0, key.find_first_not_of(' '));
        text.remove_prefix(equals + 1);
        line.fields[key] = takeValue(text);
    }
    line.event = line.field("event");
    line.node = line.field("node");
    if (line.event.empty() || !absl::SimpleAtoi(line.field("time"), &line.milliseconds))
        return std::nullopt;
    for (const char* head : { "time", "event", "node", "level" })
        line.fields.erase(head);
    return line;
}

} // namespace trefoilwing
