#pragma once

#include "Ctl/CommandLine.h"
#include "Ctl/Console.h"
#include "Ctl/ExitCode.h"

#include <string>
#include <vector>

namespace trefoilwing {

/// One command of trefoilctl, found by its name.
class CtlCommand {
public:
    virtual ~CtlCommand() = default;

    virtual std::string name() const = 0;
    /// @return what follows the name in the usage line, options apart.
    virtual std::string arguments() const = 0;
    /// @return one sentence for the list of commands.
    virtual std::string summary() const = 0;
    virtual std::vector<Option> options() const = 0;
    virtual ExitCode run(const CommandLine&, Console&) = 0;
};

/// Writes an error for people.
/// @return the exit code that goes with it.
ExitCode reportError(Console&, const Error&);

/// Writes what is wrong with the command line.
/// @return ExitCode::Usage.
ExitCode reportUsage(Console&, const std::string& message);

} // namespace trefoilwing
