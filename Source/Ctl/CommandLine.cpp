#include "Ctl/CommandLine.h"

#include "Adapters/Yaml/YamlSuggestion.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <cmath>

#include <getopt.h>

namespace trefoilwing {

namespace {

    Error usage(const std::string& message)
    {
        return { ErrorCode::Malformed, message, Verdict::NotRun };
    }

    /// @return the options as getopt_long's table, which ends with an empty row.
    std::vector<option> longOptions(const std::vector<Option>& options)
    {
        std::vector<option> rows;
        for (size_t i = 0; i < options.size(); ++i)
            rows.push_back({ options[i].name, options[i].valueName ? required_argument : no_argument, nullptr, static_cast<int>(i) });
        rows.push_back({ nullptr, 0, nullptr, 0 });
        return rows;
    }

    Error optionError(const std::vector<Option>& options, const std::string& word, bool isValueMissing)
    {
        if (isValueMissing)
            return usage(absl::StrCat("option '", word, "' needs a value"));
        std::vector<std::string> names;
        names.reserve(options.size());
        for (const Option& each : options)
            names.push_back(absl::StrCat("--", each.name));
        const std::string name = word.substr(0, word.find('='));
        return usage(absl::StrCat("option '", name, "' is unknown or has a value that it doesn't take; ", suggestName(name, names)));
    }

} // namespace

Result<CommandLine> CommandLine::parse(const std::vector<Option>& options, const std::vector<std::string>& words)
{
    CommandLine line;
    line.options_ = options;
    std::vector<std::string> copies { "trefoilctl" };
    copies.insert(copies.end(), words.begin(), words.end());
    std::vector<char*> pointers;
    pointers.reserve(copies.size() + 1);
    for (std::string& copy : copies)
        pointers.push_back(copy.data());
    pointers.push_back(nullptr);

    const std::vector<option> rows = longOptions(options);
    const int count = static_cast<int>(copies.size());
    optind = 0; // Resets getopt_long's scan.
    opterr = 0;
    while (true) {
        // The leading colon makes getopt_long distinguish a missing value (':') from an unknown option ('?').
        const int row = getopt_long(count, pointers.data(), ":", rows.data(), nullptr); // NOLINT(concurrency-mt-unsafe): trefoilctl parses in its only thread.
        if (row == -1)
            break;
        if (row == '?' || row == ':')
            return optionError(options, pointers[static_cast<size_t>(optind) - 1], row == ':');
        line.values_[options[static_cast<size_t>(row)].name].emplace_back(optarg ? optarg : "");
    }
    for (int i = optind; i < count; ++i)
        line.arguments_.emplace_back(pointers[static_cast<size_t>(i)]);
    return line;
}

std::string CommandLine::text(const std::string& name) const
{
    if (const auto found = values_.find(name); found != values_.end())
        return found->second.back();
    for (const Option& each : options_) {
        if (each.name == name && each.defaultValue)
            return each.defaultValue;
    }
    return "";
}

std::vector<std::string> CommandLine::all(const std::string& name) const
{
    const auto found = values_.find(name);
    return found == values_.end() ? std::vector<std::string>() : found->second;
}

Result<uint64_t> CommandLine::number(const std::string& name, uint64_t min, uint64_t max) const
{
    uint64_t value = 0;
    if (absl::SimpleAtoi(text(name), &value) && value >= min && value <= max)
        return value;
    return usage(absl::StrCat("option '--", name, "' has '", text(name), "'; write a whole number from ", min, " to ", max));
}

Result<double> CommandLine::fraction(const std::string& name, double min, double max) const
{
    double value = 0;
    if (absl::SimpleAtod(text(name), &value) && std::isfinite(value) && value >= min && value <= max)
        return value;
    return usage(absl::StrCat("option '--", name, "' has '", text(name), "'; write a number from ", min, " to ", max));
}

Result<absl::Duration> CommandLine::duration(const std::string& name, absl::Duration min, absl::Duration max) const
{
    absl::Duration value;
    if (absl::ParseDuration(text(name), &value) && value >= min && value <= max)
        return value;
    return usage(absl::StrCat("option '--", name, "' has '", text(name), "'; write a duration with its unit, from ", absl::FormatDuration(min), " to ", absl::FormatDuration(max)));
}

std::string describeOptions(const std::vector<Option>& options)
{
    constexpr size_t helpColumn = 28;
    std::string lines;
    for (const Option& each : options) {
        std::string line = absl::StrCat("  --", each.name, each.valueName ? absl::StrCat(" ", each.valueName) : "");
        line.resize(std::max(line.size() + 2, helpColumn), ' ');
        absl::StrAppend(&lines, line, each.help, each.defaultValue ? absl::StrCat(" (", each.defaultValue, ")") : "", "\n");
    }
    return lines;
}

} // namespace trefoilwing
