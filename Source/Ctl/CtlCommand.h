#pragma once

#include "Ctl/CommandLine.h"
#include "Ctl/Console.h"
#include "Ctl/ExitCode.h"

#include <string>
#include <vector>

namespace trefoilwing {

/// The interface of trefoilctl's commands.
class CtlCommand {
public:
    virtual ~CtlCommand() = default;

    virtual std::string name() const = 0;
    /// @return the arguments as shown in the usage line, without options.
    virtual std::string arguments() const = 0;
    /// @return one sentence for the command list of the help.
    virtual std::string summary() const = 0;
    virtual std::vector<Option> options() const = 0;
    virtual ExitCode run(const CommandLine&, Console&) = 0;
};

/// Writes an error message to the console.
/// @return the error's exit code.
ExitCode reportError(Console&, const Error&);

/// Writes what is wrong with the command line, and a hint at --help.
/// @return ExitCode::Usage.
ExitCode reportUsage(Console&, const std::string& message);

} // namespace trefoilwing
