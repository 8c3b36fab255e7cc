#include "Ctl/MembersCommand.h"

#include "Ctl/EntryOptions.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <array>

namespace trefoilwing {

namespace {

    constexpr absl::Duration pollInterval = absl::Milliseconds(200);

    bool isVoter(const DaemonStatus& status, const GroupId& id, const DaemonId& daemon)
    {
        return std::any_of(status.groups.begin(), status.groups.end(), [&](const GroupStatus& group) {
            return group.group == id && std::any_of(group.members.begin(), group.members.end(), [&](const MemberStatus& member) {
                return member.daemon == daemon && member.isVoter;
            });
        });
    }

} // namespace

MembersCommand::MembersCommand(OperatorLinkFactory factory)
    : factory_(std::move(factory))
{
}

std::vector<Option> MembersCommand::options() const
{
    std::vector<Option> options = entryOptions();
    options.insert(options.end(), {
                                      { "group", "NAME", "the group, e.g. ledger/bole", "configuration" },
                                      { "timeout", "DURATION", "how long to wait for the new voter", "60s" },
                                  });
    return options;
}

ExitCode MembersCommand::run(const CommandLine& line, Console& console)
{
    struct Action {
        const char* name;
        size_t daemons;
        ExitCode (MembersCommand::*run)(const Call&) const;
    };
    static constexpr std::array<Action, 3> actions { {
        { "add", 1, &MembersCommand::add },
        { "remove", 1, &MembersCommand::remove },
        { "replace", 2, &MembersCommand::replace },
    } };

    const std::vector<std::string>& words = line.arguments();
    const auto* action = std::find_if(actions.begin(), actions.end(), [&](const Action& a) { return !words.empty() && words.front() == a.name; });
    if (action == actions.end() || words.size() != action->daemons + 1)
        return reportUsage(console, "write " + arguments());
    const Result<absl::Duration> timeout = line.duration("timeout", absl::ZeroDuration(), absl::Hours(1));
    if (const Error* error = errorOf(timeout))
        return reportUsage(console, error->message);
    const auto links = entryLinks(line, factory_);
    if (const Error* error = errorOf(links))
        return reportUsage(console, error->message);
    return (this->*action->run)({ *valueOf(links), GroupId(line.text("group")), absl::Now() + *valueOf(timeout), words, console });
}

ExitCode MembersCommand::add(const Call& call) const
{
    return waitUntilVoter(call, DaemonId(call.words[1]));
}

ExitCode MembersCommand::remove(const Call& call) const
{
    const MemberRemoval removal { call.group, DaemonId(call.words[1]) };
    const auto done = callFirstAvailable(call.links, [&](OperatorLink& link) { return link.removeMember(removal); });
    if (const Error* error = errorOf(done))
        return reportError(call.console, *error);
    call.console.out << removal.daemon.value() << " is out of the group " << call.group.value() << "\n";
    return ExitCode::Ok;
}

ExitCode MembersCommand::replace(const Call& call) const
{
    const ExitCode removed = remove(call);
    return removed == ExitCode::Ok ? waitUntilVoter(call, DaemonId(call.words[2])) : removed;
}

ExitCode MembersCommand::waitUntilVoter(const Call& call, const DaemonId& daemon) const
{
    while (true) {
        for (const std::unique_ptr<OperatorLink>& link : call.links) {
            const Result<DaemonStatus> status = link->status();
            if (valueOf(status) && isVoter(*valueOf(status), call.group, daemon)) {
                call.console.out << daemon.value() << " is a voter of the group " << call.group.value() << "\n";
                return ExitCode::Ok;
            }
        }
        if (absl::Now() >= call.deadline)
            break;
        absl::SleepFor(pollInterval);
    }
    call.console.err << daemon.value() << " isn't a voter of the group " << call.group.value() << " yet; check that it is running and that its settings give it the role\n";
    return ExitCode::TimedOut;
}

} // namespace trefoilwing
