#pragma once

#include "Ctl/CtlCommand.h"

namespace trefoilwing {

/// Reconstructs the history of one request from the log files of a fleet.
class TraceCommand : public CtlCommand {
public:
    std::string name() const override { return "trace"; }
    std::string arguments() const override { return "ID LOGFILE..."; }
    std::string summary() const override { return "Tells what became of a request, from the logs of all daemons of a fleet."; }
    std::vector<Option> options() const override { return {}; }
    ExitCode run(const CommandLine&, Console&) override;
};

} // namespace trefoilwing
