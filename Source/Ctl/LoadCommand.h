#pragma once

#include "Ctl/CallerLink.h"
#include "Ctl/CtlCommand.h"
#include "Ctl/LoadReport.h"
#include "Ctl/OperatorLink.h"

namespace trefoilwing {

/// Generates load: sends requests and jobs to entries and reports response times and failures.
class LoadCommand : public CtlCommand {
public:
    LoadCommand(OperatorLinkFactory, CallerLinkFactory);

    std::string name() const override { return "load"; }
    std::string arguments() const override { return ""; }
    std::string summary() const override { return "Sends a bounded load to entries and reports response times and failures."; }
    std::vector<Option> options() const override;
    ExitCode run(const CommandLine&, Console&) override;

private:
    std::vector<LoadResult> sendAll(const std::vector<LoadItem>&, const std::vector<Endpoint>&, size_t connections) const;

    OperatorLinkFactory operatorFactory_;
    CallerLinkFactory callerFactory_;
};

} // namespace trefoilwing
