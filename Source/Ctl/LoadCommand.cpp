#include "Ctl/LoadCommand.h"

#include "Adapters/Clock/SeededRandom.h"
#include "Ctl/EntryOptions.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <atomic>
#include <thread>

namespace trefoilwing {

namespace {

    /// The parsed options.
    struct LoadOptions {
        LoadShape shape;
        size_t connections = 0;
        uint64_t seed = 0;
    };

    Result<LoadOptions> readOptions(const CommandLine& line)
    {
        const Result<double> rate = line.fraction("rate", 0.01, 100000);
        const Result<absl::Duration> duration = line.duration("duration", absl::Milliseconds(100), absl::Hours(1));
        const Result<double> peakFactor = line.fraction("crest", 0.1, 100);
        const Result<double> jobShare = line.fraction("jobs", 0, 1);
        const Result<uint64_t> tasks = line.number("tasks", 1, 100000);
        const Result<uint64_t> maxArrivals = line.number("max", 1, 1000000);
        const Result<uint64_t> connections = line.number("connections", 1, 2000);
        const Result<uint64_t> seed = line.number("seed", 0, UINT64_MAX);
        for (const Error* error : { errorOf(rate), errorOf(duration), errorOf(peakFactor), errorOf(jobShare), errorOf(tasks), errorOf(maxArrivals), errorOf(connections), errorOf(seed) }) {
            if (error)
                return *error;
        }
        return LoadOptions { { *valueOf(rate), *valueOf(duration), *valueOf(peakFactor), *valueOf(jobShare), static_cast<uint32_t>(*valueOf(tasks)), *valueOf(maxArrivals) },
            *valueOf(connections), *valueOf(seed) };
    }

} // namespace

LoadCommand::LoadCommand(OperatorLinkFactory operatorFactory, CallerLinkFactory callerFactory)
    : operatorFactory_(std::move(operatorFactory))
    , callerFactory_(std::move(callerFactory))
{
}

std::vector<Option> LoadCommand::options() const
{
    std::vector<Option> options = entryOptions();
    options.insert(options.end(), {
                                      { "rate", "NUMBER", "arrivals a second outside the crest", "20" },
                                      { "duration", "DURATION", "how long arrivals come", "10s" },
                                      { "crest", "FACTOR", "how many times the rate in the middle fifth of the duration", "1" },
                                      { "jobs", "SHARE", "the share of arrivals that are jobs, not single requests", "0.2" },
                                      { "tasks", "NUMBER", "tasks of a job", "20" },
                                      { "service", "NAME", "only this service; without it, all in force" },
                                      { "max", "NUMBER", "the most arrivals", "100000" },
                                      { "connections", "NUMBER", "connections at once; an arrival that finds none free waits, and its wait counts", "64" },
                                      { "seed", "NUMBER", "the same seed plans the same arrivals", "1" },
                                  });
    return options;
}

ExitCode LoadCommand::run(const CommandLine& line, Console& console)
{
    const Result<LoadOptions> options = readOptions(line);
    if (const Error* error = errorOf(options))
        return reportUsage(console, error->message);
    const Result<std::vector<Endpoint>> endpoints = entryEndpoints(line);
    if (const Error* error = errorOf(endpoints))
        return reportUsage(console, error->message);
    const auto links = entryLinks(line, operatorFactory_);
    const auto configuration = callFirstAvailable(*valueOf(links), [](OperatorLink& link) { return link.configuration(); });
    if (const Error* error = errorOf(configuration))
        return reportError(console, *error);

    std::vector<ServiceDeclaration> services = valueOf(configuration)->services;
    if (line.has("service"))
        std::erase_if(services, [&](const ServiceDeclaration& service) { return service.service.value() != line.text("service"); });
    if (services.empty()) {
        console.err << "no such service is in force; publish its declaration first\n";
        return ExitCode::Failed;
    }
    SeededRandom random(valueOf(options)->seed);
    // A submission with a known id joins the earlier one instead of running, so each load needs ids of its own.
    const std::string prefix = absl::StrCat("load-", absl::ToUnixMicros(absl::Now()));
    const std::vector<LoadItem> items = planLoad(services, valueOf(options)->shape, prefix, random);
    console.out << items.size() << " arrivals in " << absl::FormatDuration(valueOf(options)->shape.duration) << "\n\n";
    console.out.flush();
    const std::vector<LoadResult> results = sendAll(items, *valueOf(endpoints), valueOf(options)->connections);
    writeLoadReport(results, console.out);
    const bool hasFailures = std::any_of(results.begin(), results.end(), [](const LoadResult& result) { return result.error.has_value(); });
    return hasFailures ? ExitCode::Failed : ExitCode::Ok;
}

std::vector<LoadResult> LoadCommand::sendAll(const std::vector<LoadItem>& items, const std::vector<Endpoint>& endpoints, size_t connections) const
{
    std::vector<LoadResult> results(items.size());
    std::atomic<size_t> next { 0 };
    const absl::Time start = absl::Now();
    const auto sendItems = [&](size_t thread) {
        const std::unique_ptr<CallerLink> link = callerFactory_(endpoints[thread % endpoints.size()]);
        for (size_t i = next++; i < items.size(); i = next++) {
            absl::SleepFor(start + items[i].at - absl::Now());
            const Result<size_t> outcome = link->send(items[i]);
            results[i].item = &items[i];
            results[i].response = absl::Now() - start - items[i].at;
            if (const Error* error = errorOf(outcome))
                results[i].error = *error;
            else if (*valueOf(outcome) != items[i].payloads.size())
                results[i].error = Error { ErrorCode::Internal, "the answer is incomplete: its number of outputs differs from the number of tasks", Verdict::MayHaveRun };
        }
    };
    std::vector<std::thread> threads;
    threads.reserve(connections);
    for (size_t i = 0; i < std::min(connections, items.size()); ++i)
        threads.emplace_back(sendItems, i);
    for (std::thread& thread : threads)
        thread.join();
    return results;
}

} // namespace trefoilwing
