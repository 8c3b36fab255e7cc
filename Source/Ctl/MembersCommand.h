#pragma once

#include "Ctl/CtlCommand.h"
#include "Ctl/OperatorLink.h"

namespace trefoilwing {

/// Changes the membership of a replicated log's group.
///
/// A daemon joins the groups named in its settings by itself, so "add" and "replace" only wait until it is a voter.
class MembersCommand : public CtlCommand {
public:
    explicit MembersCommand(OperatorLinkFactory);

    std::string name() const override { return "members"; }
    std::string arguments() const override { return "add DAEMON | remove DAEMON | replace LOST NEW"; }
    std::string summary() const override { return "Takes a lost daemon out of a group, or waits until a new one is a voter."; }
    std::vector<Option> options() const override;
    ExitCode run(const CommandLine&, Console&) override;

private:
    /// The arguments of one invocation, shared by the actions.
    struct Call {
        const std::vector<std::unique_ptr<OperatorLink>>& links;
        GroupId group;
        absl::Time deadline;
        const std::vector<std::string>& words;
        Console& console;
    };

    ExitCode add(const Call&) const;
    ExitCode remove(const Call&) const;
    ExitCode replace(const Call&) const;
    ExitCode waitUntilVoter(const Call&, const DaemonId&) const;

    OperatorLinkFactory factory_;
};

} // namespace trefoilwing
