#pragma once

#include "Ctl/CtlCommand.h"

namespace trefoilwing {

/// Checks settings and declarations, each by itself and against the others.
class CheckCommand : public CtlCommand {
public:
    std::string name() const override { return "check"; }
    std::string arguments() const override { return "FILE|FOLDER..."; }
    std::string summary() const override { return "Checks settings and declarations, folders with all that is in them."; }
    std::vector<Option> options() const override { return {}; }
    ExitCode run(const CommandLine&, Console&) override;
};

} // namespace trefoilwing
