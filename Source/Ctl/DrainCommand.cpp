#include "Ctl/DrainCommand.h"

#include "Ctl/EntryOptions.h"

#include <absl/time/clock.h>

namespace trefoilwing {

namespace {

    constexpr absl::Duration pollInterval = absl::Milliseconds(100);

    ExitCode waitUntilDrained(OperatorLink& link, absl::Time deadline, Console& console)
    {
        while (true) {
            const Result<DaemonStatus> status = link.status();
            if (const Error* error = errorOf(status))
                return reportError(console, *error);
            if (valueOf(status)->isDrained) {
                console.out << valueOf(status)->daemon.value() << " is drained\n";
                return ExitCode::Ok;
            }
            if (absl::Now() >= deadline) {
                console.err << link.address() << ": still has work in progress\n";
                return ExitCode::TimedOut;
            }
            absl::SleepFor(pollInterval);
        }
    }

} // namespace

DrainCommand::DrainCommand(OperatorLinkFactory factory)
    : factory_(std::move(factory))
{
}

std::vector<Option> DrainCommand::options() const
{
    return {
        { "entry", "ADDRESS:PORT", "the daemon's HTTP endpoint" },
        { "wait", nullptr, "wait until its last work has ended" },
        { "timeout", "DURATION", "how long to wait", "60s" },
    };
}

ExitCode DrainCommand::run(const CommandLine& line, Console& console)
{
    const Result<absl::Duration> timeout = line.duration("timeout", absl::ZeroDuration(), absl::Hours(1));
    if (const Error* error = errorOf(timeout))
        return reportUsage(console, error->message);
    const auto links = entryLinks(line, factory_);
    if (const Error* error = errorOf(links))
        return reportUsage(console, error->message);
    if (valueOf(links)->size() != 1)
        return reportUsage(console, "name exactly one daemon; draining several at once could leave none to serve requests");
    OperatorLink& link = *valueOf(links)->front();
    const Result<DaemonStatus> status = link.drain();
    if (const Error* error = errorOf(status))
        return reportError(console, *error);
    console.out << valueOf(status)->daemon.value() << " drains\n";
    return line.has("wait") ? waitUntilDrained(link, absl::Now() + *valueOf(timeout), console) : ExitCode::Ok;
}

} // namespace trefoilwing
