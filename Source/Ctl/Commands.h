#pragma once

#include "Ctl/CallerLink.h"
#include "Ctl/CtlCommand.h"
#include "Ctl/OperatorLink.h"

#include <memory>
#include <string>
#include <vector>

namespace trefoilwing {

/// All commands of trefoilctl, by name.
class Commands {
public:
    /// The factories make the links that the commands speak through.
    Commands(const OperatorLinkFactory&, const CallerLinkFactory&);

    /// Runs the command that the first word names, or shows the help.
    ExitCode run(const std::vector<std::string>& words, Console&) const;

private:
    CtlCommand* find(const std::string& name) const;
    void showHelp(std::ostream&) const;
    static void showHelp(const CtlCommand&, std::ostream&);

    std::vector<std::unique_ptr<CtlCommand>> commands_;
};

} // namespace trefoilwing
