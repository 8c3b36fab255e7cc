#pragma once

#include "Ctl/CallerLink.h"
#include "Ctl/CtlCommand.h"
#include "Ctl/OperatorLink.h"

#include <memory>
#include <string>
#include <vector>

namespace trefoilwing {

/// The registry of trefoilctl's commands; finds and runs a command by its name.
class Commands {
public:
    /// The factories create the links through which the commands reach daemons.
    Commands(const OperatorLinkFactory&, const CallerLinkFactory&);

    /// Runs the command named by the first word, or shows the help.
    ExitCode run(const std::vector<std::string>& words, Console&) const;

private:
    CtlCommand* find(const std::string& name) const;
    void showHelp(std::ostream&) const;
    static void showHelp(const CtlCommand&, std::ostream&);

    std::vector<std::unique_ptr<CtlCommand>> commands_;
};

} // namespace trefoilwing
