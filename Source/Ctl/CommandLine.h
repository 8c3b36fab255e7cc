#pragma once

#include "Base/Error.h"

#include <absl/time/time.h>

#include <map>
#include <string>
#include <vector>

namespace trefoilwing {

/// One long option of a command.
struct Option {
    const char* name;
    /// Placeholder of the value in the help text; null for an option without a value.
    const char* valueName;
    const char* help;
    /// The value used if the option isn't given; null if there is no default.
    const char* defaultValue = nullptr;
};

/// The parsed options and arguments of one command.
class CommandLine {
public:
    /// Parses the words after the command's name with getopt_long.
    /// @return the command line, or an error that names the invalid option.
    static Result<CommandLine> parse(const std::vector<Option>&, const std::vector<std::string>& words);

    const std::vector<std::string>& arguments() const { return arguments_; }

    bool has(const std::string& option) const { return values_.count(option) > 0; }

    /// @return the last value given, else the option's default, else an empty string.
    std::string text(const std::string& option) const;
    /// @return all values given, in order.
    std::vector<std::string> all(const std::string& option) const;

    /// Parse an option's value. If it is invalid or out of range, the error names the option, its value and its range.
    Result<uint64_t> number(const std::string& option, uint64_t min, uint64_t max) const;
    Result<double> fraction(const std::string& option, double min, double max) const;
    Result<absl::Duration> duration(const std::string& option, absl::Duration min, absl::Duration max) const;

private:
    std::vector<Option> options_;
    std::map<std::string, std::vector<std::string>> values_;
    std::vector<std::string> arguments_;
};

/// @return the help text of the options, one line for each.
std::string describeOptions(const std::vector<Option>&);

} // namespace trefoilwing
