#pragma once

#include "Ctl/CtlCommand.h"

namespace trefoilwing {

/// Validates settings and declarations, each file alone and against the other files.
class CheckCommand : public CtlCommand {
public:
    std::string name() const override { return "check"; }
    std::string arguments() const override { return "FILE|FOLDER..."; }
    std::string summary() const override { return "Checks settings and declarations, folders with all that is in them."; }
    std::vector<Option> options() const override { return {}; }
    ExitCode run(const CommandLine&, Console&) override;
};

} // namespace trefoilwing
