#pragma once

#include "Ctl/CtlCommand.h"
#include "Ctl/OperatorLink.h"

#include <memory>
#include <string>
#include <vector>

namespace trefoilwing {

/// All commands of trefoilctl, by name.
class Commands {
public:
    /// @param factory makes the links that the commands speak through.
    explicit Commands(const OperatorLinkFactory& factory);

    /// Runs the command that the first word names, or shows the help.
    ExitCode run(const std::vector<std::string>& words, Console&) const;

private:
    CtlCommand* find(const std::string& name) const;
    void showHelp(std::ostream&) const;
    static void showHelp(const CtlCommand&, std::ostream&);

    std::vector<std::unique_ptr<CtlCommand>> commands_;
};

} // namespace trefoilwing
