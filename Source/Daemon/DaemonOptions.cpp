#include "Daemon/DaemonOptions.h"

#include <absl/strings/str_cat.h>
#include <getopt.h>

#include <array>

namespace trefoilwing {

namespace {

    struct OptionRow {
        option definition;
        const char* help;
    };

    /// All options, each with its line of the help text.
    const std::array<OptionRow, 4> optionRows { {
        { { "settings", required_argument, nullptr, 's' }, "FILE   the daemon's settings in YAML" },
        { { "fleet", required_argument, nullptr, 'f' }, "FILE      the settings of an entry or a keeper of a fleet in YAML" },
        { { "help", no_argument, nullptr, 'h' }, "       this text" },
        { { "version", no_argument, nullptr, 'v' }, "       the program's version" },
    } };

    Error usageError(std::string message)
    {
        return Error { ErrorCode::Malformed, std::move(message), Verdict::NotRun };
    }

} // namespace

Result<DaemonOptions> parseDaemonOptions(int argc, char** argv)
{
    std::array<option, optionRows.size() + 1> table {};
    for (size_t row = 0; row < optionRows.size(); ++row)
        table[row] = optionRows[row].definition;
    DaemonOptions options;
    optind = 1;
    int chosen = 0;
    while ((chosen = getopt_long(argc, argv, "s:f:hv", table.data(), nullptr)) != -1) {
        switch (chosen) {
        case 's':
            options.settingsFile = optarg;
            break;
        case 'f':
            options.fleetSettingsFile = optarg;
            break;
        case 'h':
            options.wantsHelp = true;
            break;
        case 'v':
            options.wantsVersion = true;
            break;
        default:
            return usageError("Unknown or incomplete option; see --help.");
        }
    }
    if (optind < argc)
        return usageError(absl::StrCat("Unexpected argument '", argv[optind], "'; see --help."));
    if (!options.settingsFile.empty() && !options.fleetSettingsFile.empty())
        return usageError("--settings and --fleet can't be used together.");
    if (options.settingsFile.empty() && options.fleetSettingsFile.empty() && !options.wantsHelp && !options.wantsVersion)
        return usageError("No settings were given; use --settings FILE or --fleet FILE.");
    return options;
}

std::string daemonHelp()
{
    std::string text = "usage: trefoilwing --settings FILE | --fleet FILE\n\nRuns one daemon of trefoilwing. SIGTERM drains the daemon: it accepts no new work, finishes\nthe work it has accepted, and exits. A second signal has no effect.\n\n";
    for (const OptionRow& row : optionRows)
        absl::StrAppend(&text, "  --", row.definition.name, " ", row.help, "\n");
    absl::StrAppend(&text, "\nExit status: 0 drained, 1 work was unfinished when the drain timed out, 2 usage, 3 bad settings, 4 an address can't be bound,\n5 the data folder can't be used.\n");
    return text;
}

} // namespace trefoilwing
