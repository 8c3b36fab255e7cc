#pragma once

#include "Ctl/CtlCommand.h"
#include "Ctl/OperatorLink.h"

namespace trefoilwing {

/// Shows the daemons, their configuration versions, groups, minions and queues.
class StatusCommand : public CtlCommand {
public:
    explicit StatusCommand(OperatorLinkFactory);

    std::string name() const override { return "status"; }
    std::string arguments() const override { return ""; }
    std::string summary() const override { return "Shows daemons, versions in force, keepers, minions and queues."; }
    std::vector<Option> options() const override;
    ExitCode run(const CommandLine&, Console&) override;

private:
    OperatorLinkFactory factory_;
};

} // namespace trefoilwing
