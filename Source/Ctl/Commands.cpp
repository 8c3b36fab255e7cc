#include "Ctl/Commands.h"

#include "Adapters/Yaml/YamlSuggestion.h"
#include "Ctl/CheckCommand.h"
#include "Ctl/DrainCommand.h"
#include "Ctl/LoadCommand.h"
#include "Ctl/MembersCommand.h"
#include "Ctl/PublishCommand.h"
#include "Ctl/ReportCommand.h"
#include "Ctl/StatusCommand.h"
#include "Ctl/TextTable.h"
#include "Ctl/TraceCommand.h"

#include <absl/strings/str_cat.h>

namespace trefoilwing {

Commands::Commands(const OperatorLinkFactory& factory, const CallerLinkFactory& callerFactory)
{
    commands_.push_back(std::make_unique<CheckCommand>());
    commands_.push_back(std::make_unique<PublishCommand>(factory));
    commands_.push_back(std::make_unique<StatusCommand>(factory));
    commands_.push_back(std::make_unique<DrainCommand>(factory));
    commands_.push_back(std::make_unique<MembersCommand>(factory));
    commands_.push_back(std::make_unique<ReportCommand>(factory));
    commands_.push_back(std::make_unique<LoadCommand>(factory, callerFactory));
    commands_.push_back(std::make_unique<TraceCommand>());
}

CtlCommand* Commands::find(const std::string& name) const
{
    for (const std::unique_ptr<CtlCommand>& command : commands_) {
        if (command->name() == name)
            return command.get();
    }
    return nullptr;
}

ExitCode Commands::run(const std::vector<std::string>& words, Console& console) const
{
    if (words.empty()) {
        showHelp(console.err);
        return ExitCode::Usage;
    }
    if (words.front() == "help" || words.front() == "--help") {
        showHelp(console.out);
        return ExitCode::Ok;
    }
    CtlCommand* command = find(words.front());
    if (!command) {
        std::vector<std::string> names;
        for (const std::unique_ptr<CtlCommand>& each : commands_)
            names.push_back(each->name());
        return reportUsage(console, absl::StrCat("command '", words.front(), "' is unknown; ", suggestName(words.front(), names)));
    }
    std::vector<Option> options = command->options();
    options.push_back({ "help", nullptr, "show this help" });
    const Result<CommandLine> line = CommandLine::parse(options, { words.begin() + 1, words.end() });
    if (const Error* error = errorOf(line))
        return reportUsage(console, error->message);
    if (valueOf(line)->has("help")) {
        showHelp(*command, console.out);
        return ExitCode::Ok;
    }
    return command->run(*valueOf(line), console);
}

void Commands::showHelp(std::ostream& out) const
{
    out << "usage: trefoilctl COMMAND [OPTION]... [ARGUMENT]...\n\n";
    TextTable table({ "COMMAND", "WHAT IT DOES" });
    for (const std::unique_ptr<CtlCommand>& command : commands_)
        table.add({ command->name(), command->summary() });
    out << table << "\ntrefoilctl COMMAND --help shows a command's options.\n"
        << "exit codes: 0 done, 1 failed, 2 wrong usage, 3 conflict, 4 no daemon reached, 5 not in time\n";
}

void Commands::showHelp(const CtlCommand& command, std::ostream& out)
{
    out << "usage: trefoilctl " << command.name() << " [OPTION]... " << command.arguments() << "\n"
        << command.summary() << "\n";
    if (const std::string options = describeOptions(command.options()); !options.empty())
        out << "\noptions:\n"
            << options;
}

} // namespace trefoilwing
