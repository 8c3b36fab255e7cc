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
    /// What its value is called in the help; null for an option without a value.
    const char* value;
    const char* help;
    /// Stands where the option isn't given; null where there is none.
    const char* fallback = nullptr;
};

/// The options and arguments that a command was called with.
class CommandLine {
public:
    /// Reads the words after the command's name with getopt_long.
    /// @return the command line, or an error that names the wrong word.
    static Result<CommandLine> parse(const std::vector<Option>&, const std::vector<std::string>& words);

    const std::vector<std::string>& arguments() const { return arguments_; }

    bool has(const std::string& option) const { return values_.count(option) > 0; }

    /// @return the last value given, or the option's fallback, or an empty text.
    std::string text(const std::string& option) const;
    /// @return all values given.
    std::vector<std::string> all(const std::string& option) const;

    /// The numbers below are errors that name the option, its value and its range where they are wrong.
    Result<uint64_t> number(const std::string& option, uint64_t min, uint64_t max) const;
    Result<double> fraction(const std::string& option, double min, double max) const;
    Result<absl::Duration> duration(const std::string& option, absl::Duration min, absl::Duration max) const;

private:
    std::vector<Option> options_;
    std::map<std::string, std::vector<std::string>> values_;
    std::vector<std::string> arguments_;
};

/// @return an option table as lines of help.
std::string describeOptions(const std::vector<Option>&);

} // namespace trefoilwing
