#include "Ctl/PublishCommand.h"

#include "Adapters/Yaml/DeclarationLoader.h"
#include "Ctl/EntryOptions.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <cstdlib>

namespace trefoilwing {

namespace {

    constexpr absl::Duration pollInterval = absl::Milliseconds(100);

    bool containsAll(const Configuration& configuration, const std::vector<ServiceDeclaration>& declarations)
    {
        return std::all_of(declarations.begin(), declarations.end(), [&](const ServiceDeclaration& declaration) {
            return std::find(configuration.services.begin(), configuration.services.end(), declaration) != configuration.services.end();
        });
    }

    bool containsNone(const Configuration& configuration, const std::vector<ServiceId>& removed)
    {
        return std::none_of(configuration.services.begin(), configuration.services.end(), [&](const ServiceDeclaration& declaration) {
            return std::find(removed.begin(), removed.end(), declaration.service) != removed.end();
        });
    }

    std::string defaultOperator()
    {
        const char* user = std::getenv("USER"); // NOLINT(concurrency-mt-unsafe): called in trefoilctl's only thread.
        return user && *user ? user : "unknown";
    }

    PublishRecord makePublishRecord(const CommandLine& line, std::vector<ServiceDeclaration> declarations)
    {
        PublishRecord record;
        record.changed = std::move(declarations);
        for (const std::string& service : line.all("remove"))
            record.removed.emplace_back(service);
        record.operatorName = line.has("operator") ? line.text("operator") : defaultOperator();
        return record;
    }

} // namespace

PublishCommand::PublishCommand(OperatorLinkFactory factory)
    : factory_(std::move(factory))
{
}

std::vector<Option> PublishCommand::options() const
{
    std::vector<Option> options = entryOptions();
    options.insert(options.end(), {
                                      { "base", "VERSION", "publish on top of this version only; without it, on top of the one in force" },
                                      { "remove", "SERVICE", "remove this service as well; may be given several times" },
                                      { "operator", "NAME", "your name, shown to who loses a race against you; without it, $USER" },
                                      { "wait", nullptr, "wait until the change is in force at all daemons named" },
                                      { "timeout", "DURATION", "how long to wait", "15s" },
                                  });
    return options;
}

ExitCode PublishCommand::run(const CommandLine& line, Console& console)
{
    if (line.arguments().size() != 1)
        return reportUsage(console, "name exactly one folder");
    const Result<absl::Duration> timeout = line.duration("timeout", absl::ZeroDuration(), absl::Hours(1));
    if (const Error* error = errorOf(timeout))
        return reportUsage(console, error->message);
    const Result<std::vector<ServiceDeclaration>> declarations = loadDeclarations(line.arguments().front());
    if (const Error* error = errorOf(declarations))
        return reportError(console, *error);
    const auto links = entryLinks(line, factory_);
    if (const Error* error = errorOf(links))
        return reportUsage(console, error->message);
    return publish(line, *valueOf(links), makePublishRecord(line, *valueOf(declarations)), console);
}

ExitCode PublishCommand::publish(const CommandLine& line, const Links& links, PublishRecord record, Console& console)
{
    if (line.has("base")) {
        const Result<uint64_t> base = line.number("base", 0, UINT64_MAX);
        if (const Error* error = errorOf(base))
            return reportUsage(console, error->message);
        record.base = ConfigurationVersion(*valueOf(base));
    } else {
        const auto inForce = callFirstAvailable(links, [](OperatorLink& link) { return link.configuration(); });
        if (const Error* error = errorOf(inForce))
            return reportError(console, *error);
        record.base = valueOf(inForce)->version;
        if (containsAll(*valueOf(inForce), record.changed) && containsNone(*valueOf(inForce), record.removed)) {
            console.out << "nothing to change: version " << record.base.value() << " holds it\n";
            return ExitCode::Ok;
        }
    }
    // Publishing is idempotent: the same change sent to several daemons counts once, so it is safe to retry at the
    // next daemon after a lost answer.
    const auto version = callFirstAvailable(links, [&](OperatorLink& link) { return link.publish(record); });
    if (const Error* error = errorOf(version))
        return reportError(console, *error);
    console.out << "published version " << valueOf(version)->value() << "\n";
    if (!line.has("wait"))
        return ExitCode::Ok;
    return waitUntilInForce(links, *valueOf(version), *valueOf(line.duration("timeout", absl::ZeroDuration(), absl::Hours(1))), console);
}

ExitCode PublishCommand::waitUntilInForce(const Links& links, ConfigurationVersion version, absl::Duration timeout, Console& console)
{
    const absl::Time start = absl::Now();
    std::vector<OperatorLink*> pendingLinks;
    for (const std::unique_ptr<OperatorLink>& link : links)
        pendingLinks.push_back(link.get());
    while (true) {
        std::erase_if(pendingLinks, [&](OperatorLink* link) {
            const Result<DaemonStatus> status = link->status();
            return valueOf(status) && valueOf(status)->configuration >= version;
        });
        const absl::Duration elapsed = absl::Now() - start;
        if (pendingLinks.empty()) {
            console.out << "in force at " << links.size() << " daemons after " << absl::FormatDuration(absl::Trunc(elapsed, absl::Milliseconds(1))) << "\n";
            return ExitCode::Ok;
        }
        if (elapsed >= timeout)
            break;
        absl::SleepFor(std::min(pollInterval, timeout - elapsed));
    }
    for (const OperatorLink* link : pendingLinks)
        console.err << link->address() << ": version " << version.value() << " isn't in force there yet, or there is no answer\n";
    return ExitCode::TimedOut;
}

} // namespace trefoilwing
