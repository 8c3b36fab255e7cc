#pragma once

#include "Ctl/CtlCommand.h"
#include "Ctl/OperatorLink.h"

namespace trefoilwing {

/// Reports how fast each service and backer spends its error budget.
class ReportCommand : public CtlCommand {
public:
    explicit ReportCommand(OperatorLinkFactory);

    std::string name() const override { return "report"; }
    std::string arguments() const override { return ""; }
    std::string summary() const override { return "Reports the burn of service levels, from what all daemons have measured."; }
    std::vector<Option> options() const override;
    ExitCode run(const CommandLine&, Console&) override;

private:
    OperatorLinkFactory factory_;
};

} // namespace trefoilwing
