#include "Ctl/ReportCommand.h"

#include "Ctl/EntryOptions.h"
#include "Ctl/MetricsMerge.h"
#include "Ctl/ReportHtml.h"
#include "Ctl/ReportText.h"

#include <fstream>

namespace trefoilwing {

ReportCommand::ReportCommand(OperatorLinkFactory factory)
    : factory_(std::move(factory))
{
}

std::vector<Option> ReportCommand::options() const
{
    std::vector<Option> options = entryOptions();
    options.push_back({ "html", "FILE", "write the report as a page with plots, too" });
    return options;
}

ExitCode ReportCommand::run(const CommandLine& line, Console& console)
{
    const auto links = entryLinks(line, factory_);
    if (const Error* error = errorOf(links))
        return reportUsage(console, error->message);
    const auto configuration = callFirstAvailable(*valueOf(links), [](OperatorLink& link) { return link.configuration(); });
    if (const Error* error = errorOf(configuration))
        return reportError(console, *error);
    std::vector<MetricsSnapshot> snapshots;
    for (const std::unique_ptr<OperatorLink>& link : *valueOf(links)) {
        Result<MetricsSnapshot> snapshot = link->metrics();
        if (const Error* error = errorOf(snapshot))
            console.err << error->message << "\n";
        else
            snapshots.push_back(std::get<MetricsSnapshot>(std::move(snapshot)));
    }
    if (snapshots.empty())
        return ExitCode::Unreachable;

    const ServiceLevelReport report = makeReport(*valueOf(configuration), mergeSnapshots(snapshots));
    writeReportText(report, console.out);
    bool isComplete = snapshots.size() == valueOf(links)->size();
    if (!isComplete)
        console.err << "the report is incomplete: it lacks the daemons named above\n";
    if (line.has("html")) {
        std::ofstream file(line.text("html"));
        file << reportHtml(report);
        if (!file.flush()) {
            console.err << line.text("html") << ": the file can't be written; check its folder and permissions\n";
            isComplete = false;
        }
    }
    return isComplete ? ExitCode::Ok : ExitCode::Failed;
}

} // namespace trefoilwing
