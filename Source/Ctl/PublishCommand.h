#pragma once

#include "Ctl/CtlCommand.h"
#include "Ctl/OperatorLink.h"

namespace trefoilwing {

/// Publishes all declarations of a folder as one configuration change.
class PublishCommand : public CtlCommand {
public:
    explicit PublishCommand(OperatorLinkFactory);

    std::string name() const override { return "publish"; }
    std::string arguments() const override { return "FOLDER"; }
    std::string summary() const override { return "Publishes the declarations of a folder."; }
    std::vector<Option> options() const override;
    ExitCode run(const CommandLine&, Console&) override;

private:
    using Links = std::vector<std::unique_ptr<OperatorLink>>;

    ExitCode publish(const CommandLine&, const Links&, PublishRecord, Console&);
    ExitCode waitUntilInForce(const Links&, ConfigurationVersion, absl::Duration timeout, Console&);

    OperatorLinkFactory factory_;
};

} // namespace trefoilwing
