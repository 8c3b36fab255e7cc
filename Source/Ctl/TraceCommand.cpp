#include "Ctl/TraceCommand.h"

#include "Ctl/RequestTrace.h"
#include "Ctl/TextTable.h"

#include <absl/strings/str_cat.h>

#include <fstream>

namespace trefoilwing {

namespace {

    std::string joinFields(const LogLine& line)
    {
        std::string text;
        for (const auto& [key, value] : line.fields) {
            if (!value.empty())
                absl::StrAppend(&text, text.empty() ? "" : " ", key, "=", value);
        }
        return text;
    }

    void show(const RequestTrace& trace, const std::vector<LogLine>& lines, std::ostream& out)
    {
        TextTable table({ "MS", "NODE", "EVENT", "DETAILS" });
        for (const LogLine& line : lines)
            table.add({ absl::StrCat(line.milliseconds - lines.front().milliseconds), line.node, line.event, joinFields(line) });
        out << "from " << lines.front().milliseconds << " ms since 1970\n"
            << table << "\n";
        for (const std::string& finding : trace.findings())
            out << "- " << finding << "\n";
    }

} // namespace

ExitCode TraceCommand::run(const CommandLine& line, Console& console)
{
    const std::vector<std::string>& words = line.arguments();
    if (words.size() < 2)
        return reportUsage(console, "name an id and at least one log file");
    RequestTrace trace(words.front());
    for (size_t i = 1; i < words.size(); ++i) {
        std::ifstream file(words[i]);
        if (!file) {
            console.err << words[i] << ": can't be read; check the path and its permissions, and name the log files of all entries and keepers\n";
            return ExitCode::Failed;
        }
        std::string text;
        while (std::getline(file, text)) {
            if (const std::optional<LogLine> parsed = parseLogLine(text))
                trace.add(*parsed);
        }
    }
    const std::vector<LogLine> lines = trace.lines();
    if (lines.empty()) {
        console.err << "no line names '" << words.front() << "' as a request or a job; name the logs of all entries that cover the time of its submission\n";
        return ExitCode::Failed;
    }
    show(trace, lines, console.out);
    return ExitCode::Ok;
}

} // namespace trefoilwing
