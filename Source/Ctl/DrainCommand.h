#pragma once

#include "Ctl/CtlCommand.h"
#include "Ctl/OperatorLink.h"

namespace trefoilwing {

/// Drains one daemon, so that its process can be stopped without losing work.
class DrainCommand : public CtlCommand {
public:
    explicit DrainCommand(OperatorLinkFactory);

    std::string name() const override { return "drain"; }
    std::string arguments() const override { return ""; }
    std::string summary() const override { return "Drains one daemon: it takes no new work and finishes what it has."; }
    std::vector<Option> options() const override;
    ExitCode run(const CommandLine&, Console&) override;

private:
    OperatorLinkFactory factory_;
};

} // namespace trefoilwing
