#include "System/Cluster.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace trefoilwing {

namespace {

    constexpr absl::Duration serviceTimeout = absl::Seconds(60);
    constexpr absl::Duration startsTimeout = absl::Seconds(60);
    constexpr absl::Duration pollInterval = absl::Milliseconds(20);
    constexpr absl::Duration probeInterval = absl::Milliseconds(200);
    /// Below the kernel's range of ephemeral ports.
    constexpr int firstPort = 12'000;
    constexpr int portsPerProcess = 40;
    constexpr int portRangeCount = 500;

    struct DaemonRow {
        const char* name;
        const char* dataCentre;
        const char* roles;
    };

    constexpr std::array<DaemonRow, 4> daemons { {
        { "bole-1", "bole", "[entry, keeper]" },
        { "bole-2", "bole", "[entry, keeper]" },
        { "merkato-1", "merkato", "[entry, keeper]" },
        { "merkato-2", "merkato", "[entry]" },
    } };

    constexpr char changeBody[] = R"({"base":0,"operator":"test","removed":[],"services":[
        {"service":"follow-up","default_deadline":"60s","max_tasks":1000,"max_payload":"4KiB",
         "objective":{"share":0.99,"within":"2s"},
         "backers":[{"backer":"shop-a","quota":1,"home":"bole"},{"backer":"shop-b","quota":1,"home":"merkato"}],
         "task_kinds":[{"kind":"price","expected_run_time":"50ms","idempotent":false}]}]})";

    bool isFree(uint16_t port)
    {
        const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool isBound = bind(handle, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
        close(handle);
        return isBound;
    }

    /// @return an endpoint with a free port. Each test process has its own range, so that tests may run in parallel.
    Endpoint nextEndpoint()
    {
        static int next = firstPort + getpid() % portRangeCount * portsPerProcess;
        while (!isFree(static_cast<uint16_t>(next)))
            ++next;
        return { "127.0.0.1", static_cast<uint16_t>(next++) };
    }

    std::string describe(const Endpoint& endpoint)
    {
        return absl::StrCat(endpoint.address, ":", endpoint.port);
    }

    std::string prefixOf(const SubmissionKey& id)
    {
        return absl::StrCat(id.service.value(), "/", id.backer.value(), "/", id.key.value(), "/");
    }

} // namespace

Cluster::Cluster()
{
    std::string name = (std::filesystem::temp_directory_path() / "trefoilwing-XXXXXX").string();
    folder_ = mkdtemp(name.data());
    for (const DaemonRow& row : daemons) {
        endpoints_[row.name] = nextEndpoint();
        peerEndpoints_[row.name] = nextEndpoint();
    }
    for (const DaemonRow& row : daemons) {
        std::filesystem::create_directory(dataFolder(row.name));
        writeSettings(row.name);
    }
}

Cluster::~Cluster()
{
    processes_.clear();
    // TREFOILWING_KEEP_LOGS keeps the daemons' logs, to investigate a failure.
    if (!std::getenv("TREFOILWING_KEEP_LOGS"))
        std::filesystem::remove_all(folder_);
}

void Cluster::writeSettings(const std::string& daemon) const
{
    std::ofstream file(absl::StrCat(folder_, "/", daemon, ".yaml"));
    file << "daemon: " << daemon << "\ndata_folder: " << dataFolder(daemon) << "\nclaim_guard: 0s\nmax_connections: 64\npeers:\n";
    for (const DaemonRow& row : daemons) {
        file << "  - daemon: " << row.name << "\n    data_centre: " << row.dataCentre
             << "\n    peer_endpoint: " << describe(peerEndpoints_.at(row.name))
             << "\n    http_endpoint: " << describe(endpoints_.at(row.name)) << "\n    roles: " << row.roles << "\n";
    }
}

void Cluster::startDaemon(const std::string& name)
{
    const std::string path = absl::StrCat(folder_, "/", name);
    processes_[name] = std::make_unique<ChildProcess>(std::vector<std::string> { TREFOILWING_DAEMON, "--settings", path + ".yaml" }, path + ".log");
}

void Cluster::startMinions(const std::string& name, const std::string& dataCentre, int count, const std::string& behaviour, int after)
{
    std::string entries;
    for (const DaemonRow& row : daemons) {
        if (row.dataCentre == dataCentre)
            absl::StrAppend(&entries, entries.empty() ? "" : ",", describe(endpoints_.at(row.name)));
    }
    processes_[name] = std::make_unique<ChildProcess>(
        std::vector<std::string> { STAND_IN_MINION, "--name", name, "--count", absl::StrCat(count), "--service", "follow-up",
            "--data-centre", dataCentre, "--entries", entries, "--behaviour", behaviour, "--after", absl::StrCat(after), "--log", logFile() },
        absl::StrCat(folder_, "/", name, ".log"));
}

bool Cluster::publish()
{
    for (const DaemonRow& row : daemons) {
        const CallerReply reply = Caller::post(endpoints_.at(row.name), "/v1/configuration", changeBody);
        if (reply.httpStatus == 200)
            return true;
    }
    return false;
}

bool Cluster::publishAndAwaitService()
{
    const absl::Time end = absl::Now() + serviceTimeout;
    while (!publish()) {
        if (absl::Now() > end)
            return false;
        absl::SleepFor(probeInterval);
    }
    for (const DaemonRow& row : daemons) {
        for (const char* backer : { "shop-a", "shop-b" }) {
            CallerJob probe { { ServiceId("follow-up"), BackerId(backer), {} }, TaskKindId("price") };
            probe.runTime = absl::Milliseconds(1);
            probe.timeout = absl::Seconds(5);
            while (!Caller::isWholeAnswer(Caller::request(endpoints_.at(row.name), probe), probe)) {
                if (absl::Now() > end)
                    return false;
                absl::SleepFor(probeInterval);
            }
        }
    }
    return true;
}

StartRecord Cluster::record(const SubmissionKey& id) const
{
    return StartRecord::read(logFile(), prefixOf(id));
}

bool Cluster::awaitStarts(const SubmissionKey& id, size_t tasks) const
{
    const absl::Time end = absl::Now() + startsTimeout;
    while (record(id).starts.size() < tasks) {
        if (absl::Now() > end)
            return false;
        absl::SleepFor(pollInterval);
    }
    return true;
}

std::string Cluster::faultOf(const CallerReply& reply, const CallerJob& job) const
{
    const StartRecord record = this->record(job.id);
    if (!record.duplicateStarts().empty())
        return "started twice: " + record.duplicateStarts();
    if (!reply.isDecided())
        return absl::StrCat("no outcome; HTTP ", reply.httpStatus, " ", reply.errorCode, " ", reply.message);
    if (reply.isComplete())
        return Caller::isWholeAnswer(reply, job) && record.starts.size() == job.tasks.value() ? "" : "the outcome is \"complete\", but outputs or starts are missing";
    if (reply.verdict == "not run" && !record.starts.empty())
        return absl::StrCat("\"not run\", but ", record.starts.size(), " tasks started: ", reply.message);
    if (reply.verdict == "ran" && record.ends.size() != job.tasks.value())
        return absl::StrCat("\"ran\", but only ", record.ends.size(), " tasks ended: ", reply.message);
    if (reply.verdict.empty())
        return "a failure without a verdict";
    return "";
}

} // namespace trefoilwing
