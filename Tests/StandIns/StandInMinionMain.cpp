#include "StandIns/StandInMinion.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <csignal>
#include <cstdio>
#include <functional>
#include <map>

#include <getopt.h>

using namespace trefoilwing;

namespace {

constexpr int usageStatus = 2;
constexpr uint32_t minionsPerWorker = 1;

struct ProgramOptions {
    StandInMinionOptions minion;
    std::string name = "minion";
    std::string log;
    uint32_t count = 1;
    uint32_t workersPerRack = 8;
    bool isInvalid = false;
};

uint32_t readCount(const std::string& text, ProgramOptions& options)
{
    uint32_t value = 0;
    options.isInvalid |= !absl::SimpleAtoi(text, &value);
    return value;
}

std::vector<Endpoint> readEndpoints(const std::string& text, ProgramOptions& options)
{
    std::vector<Endpoint> endpoints;
    for (const std::string& item : std::vector<std::string>(absl::StrSplit(text, ','))) {
        const std::vector<std::string> parts = absl::StrSplit(item, ':');
        options.isInvalid |= parts.size() != 2;
        if (parts.size() == 2)
            endpoints.push_back({ parts[0], static_cast<uint16_t>(readCount(parts[1], options)) });
    }
    return endpoints;
}

using Setter = std::function<void(ProgramOptions&, const std::string&)>;

const std::map<std::string, Setter>& setters()
{
    static const std::map<std::string, Setter> table {
        { "name", [](auto& o, auto& v) { o.name = v; } },
        { "count", [](auto& o, auto& v) { o.count = readCount(v, o); } },
        { "service", [](auto& o, auto& v) { o.minion.service = ServiceId(v); } },
        { "data-centre", [](auto& o, auto& v) { o.minion.dataCentre = DataCentreId(v); } },
        { "entries", [](auto& o, auto& v) { o.minion.entries = readEndpoints(v, o); } },
        { "slots", [](auto& o, auto& v) { o.minion.slots = SlotCount(readCount(v, o)); } },
        { "accelerators", [](auto& o, auto& v) { o.minion.resources["accelerators"] = readCount(v, o); } },
        { "speed", [](auto& o, auto& v) { o.isInvalid |= !absl::SimpleAtod(v, &o.minion.speed) || o.minion.speed <= 0; } },
        { "behaviour", [](auto& o, auto& v) { o.minion.behaviour = v; } },
        { "after", [](auto& o, auto& v) { o.minion.after = readCount(v, o); } },
        { "workers-per-rack", [](auto& o, auto& v) { o.workersPerRack = readCount(v, o); } },
        { "log", [](auto& o, auto& v) { o.log = v; } },
    };
    return table;
}

bool readOptions(int argc, char** argv, ProgramOptions& options)
{
    std::vector<option> longOptions;
    for (const auto& [name, setter] : setters())
        longOptions.push_back({ name.c_str(), required_argument, nullptr, 0 });
    longOptions.push_back({});
    int index = 0;
    int found = 0;
    while ((found = getopt_long(argc, argv, "", longOptions.data(), &index)) == 0)
        setters().at(longOptions[index].name)(options, optarg);
    return found == -1 && !options.isInvalid && options.workersPerRack > 0 && !options.minion.service.value().empty()
        && !options.minion.dataCentre.value().empty() && !options.minion.entries.empty()
        && MinionBehaviour::make(options.minion.behaviour, 0);
}

StandInMinionOptions optionsOf(const ProgramOptions& options, uint32_t number)
{
    StandInMinionOptions minion = options.minion;
    minion.minion = MinionId(absl::StrCat(options.name, "-", number));
    minion.worker = WorkerId(absl::StrCat("worker-", options.name, "-", number / minionsPerWorker));
    minion.rack = RackId(absl::StrCat("rack-", options.name, "-", number / options.workersPerRack));
    return minion;
}

void awaitSignal(const sigset_t& signals)
{
    int signal = 0;
    sigwait(&signals, &signal);
}

} // namespace

int main(int argc, char** argv)
{
    ProgramOptions options;
    if (!readOptions(argc, argv, options)) {
        std::fprintf(stderr,
            "usage: StandInMinion --service S --data-centre D --entries HOST:PORT,... [--name PREFIX] [--count N]\n"
            "  [--slots N] [--accelerators N] [--speed FACTOR] [--behaviour NAME] [--after STARTS]\n"
            "  [--workers-per-rack N] [--log FILE]\n"
            "behaviours: %s\nSIGTERM: leaves, finishes the running tasks, and exits.\n",
            MinionBehaviour::names().c_str());
        return usageStatus;
    }

    // The signals are blocked before any thread starts, so that only sigwait() receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    ExecutionLog log(options.log);
    TimerQueue timers;
    std::vector<std::unique_ptr<StandInMinion>> minions;
    for (uint32_t number = 0; number < options.count; ++number) {
        minions.push_back(std::make_unique<StandInMinion>(optionsOf(options, number), timers, log));
        const Result<Done> started = minions.back()->start();
        if (const Error* error = errorOf(started)) {
            std::fprintf(stderr, "%s\n", error->message.c_str());
            return 1;
        }
    }
    awaitSignal(signals);
    for (const auto& minion : minions)
        minion->leave();
    for (const auto& minion : minions)
        minion->awaitIdle();
    return 0;
}
