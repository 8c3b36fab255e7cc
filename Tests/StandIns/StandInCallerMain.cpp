#include "StandIns/Caller.h"

#include <absl/strings/numbers.h>
#include <absl/time/clock.h>

#include <cstdio>
#include <functional>
#include <map>

#include <getopt.h>

using namespace trefoilwing;

namespace {

constexpr int failedStatus = 1;
constexpr int usageStatus = 2;
constexpr absl::Duration outcomeTimeout = absl::Seconds(60);

struct ProgramOptions {
    Endpoint entry { "127.0.0.1", 0 };
    CallerJob job;
    bool isRequest = false;
    bool isInvalid = false;
};

uint32_t readCount(const std::string& text, ProgramOptions& options)
{
    uint32_t value = 0;
    options.isInvalid |= !absl::SimpleAtoi(text, &value);
    return value;
}

using Setter = std::function<void(ProgramOptions&, const std::string&)>;

const std::map<std::string, Setter>& setters()
{
    static const std::map<std::string, Setter> table {
        { "port", [](auto& o, auto& v) { o.entry.port = static_cast<uint16_t>(readCount(v, o)); } },
        { "service", [](auto& o, auto& v) { o.job.id.service = ServiceId(v); } },
        { "backer", [](auto& o, auto& v) { o.job.id.backer = BackerId(v); } },
        { "id", [](auto& o, auto& v) { o.job.id.key = CallerKey(v); } },
        { "kind", [](auto& o, auto& v) { o.job.kind = TaskKindId(v); } },
        { "tasks", [](auto& o, auto& v) { o.job.tasks = TaskCount(readCount(v, o)); } },
        { "run-ms", [](auto& o, auto& v) { o.job.runTime = absl::Milliseconds(readCount(v, o)); } },
        { "timeout-ms", [](auto& o, auto& v) { o.job.timeout = absl::Milliseconds(readCount(v, o)); } },
        { "mode", [](auto& o, auto& v) { o.isRequest = v == "request"; } },
        { "idempotent", [](auto& o, auto& v) { o.job.isIdempotent = v == "true"; } },
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
    return found == -1 && !options.isInvalid && options.entry.port != 0;
}

CallerReply call(const ProgramOptions& options)
{
    if (options.isRequest)
        return Caller::request(options.entry, options.job);
    const CallerReply reply = Caller::submit(options.entry, options.job);
    return reply.httpStatus == 202 ? Caller::awaitOutcome({ options.entry }, options.job.id, outcomeTimeout) : reply;
}

} // namespace

int main(int argc, char** argv)
{
    ProgramOptions options;
    if (!readOptions(argc, argv, options)) {
        std::fprintf(stderr,
            "usage: StandInCaller --port N --service S --backer B --kind K [--mode submission|request] [--id ID]\n"
            "  [--tasks N] [--run-ms N] [--timeout-ms N] [--idempotent true|false]\n"
            "Exit status: 0 answered whole, 1 failed, 2 wrong usage.\n");
        return usageStatus;
    }
    const absl::Time begin = absl::Now();
    const CallerReply reply = call(options);
    const double milliseconds = absl::ToDoubleMilliseconds(absl::Now() - begin);
    const bool isComplete = Caller::isWholeAnswer(reply, options.job);
    std::printf("%s %s/%s/%s %s: http=%d outputs=%zu whole=%s time_ms=%.1f", options.isRequest ? "request" : "job",
        options.job.id.service.value().c_str(), options.job.id.backer.value().c_str(), options.job.id.key.value().c_str(),
        options.job.kind.value().c_str(), reply.httpStatus, reply.outputs.size(), isComplete ? "yes" : "no", milliseconds);
    if (!reply.errorCode.empty())
        std::printf(" error=%s verdict=\"%s\" message=\"%s\"", reply.errorCode.c_str(), reply.verdict.c_str(), reply.message.c_str());
    std::printf("\n");
    return isComplete ? 0 : failedStatus;
}
