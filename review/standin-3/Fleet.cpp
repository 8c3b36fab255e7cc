#include "Fleet.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using nlohmann::json;

namespace {

    constexpr int peerPort = 7720;
    constexpr int callersPort = 8161;
    constexpr int controlPort = 8166;
    constexpr int readinessPort = 8167;
    constexpr int minionPort = 8080;
    constexpr Millis pollInterval { 50 };
    constexpr Millis startTimeout { 30000 };
    const std::array<const char*, 3> keeperNames { "keeper-1", "keeper-2", "keeper-3" };

    bool canBind(const std::string& ip, int port)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in local {};
        local.sin_family = AF_INET;
        local.sin_port = htons(static_cast<uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &local.sin_addr);
        const bool isFree = ::bind(socket, reinterpret_cast<const sockaddr*>(&local), sizeof local) == 0;
        ::close(socket);
        return isFree;
    }

    std::string textOf(const Address& address)
    {
        return "\"" + address.ip + ":" + std::to_string(address.port) + "\"";
    }

    /// @return the prefix of a loopback network on which the ports are free.
    std::string freeNetwork()
    {
        const int base = static_cast<int>(getpid());
        for (int tried = 0; tried < 200; ++tried) {
            const int number = base + tried * 211;
            std::string network = "127." + std::to_string(20 + number % 200) + "." + std::to_string(1 + number / 200 % 250) + ".";
            const std::array<int, 5> ports { peerPort, callersPort, controlPort, readinessPort, minionPort };
            if (std::all_of(ports.begin(), ports.end(), [&](int port) { return canBind(network + "1", port); }))
                return network;
        }
        return "127.0.0.";
    }

} // namespace

std::string taskOf(const std::string& job)
{
    return job + ".0.0.0";
}

Fleet::Fleet(const std::string& program, const std::string& folder, const FleetPlan& plan, Record& record)
    : program_(program)
    , folder_(folder)
    , plan_(plan)
    , record_(record)
    , network_(freeNetwork())
{
    int host = 1;
    for (const char* keeper : keeperNames)
        hosts_[keeper] = host++;
    host = 11;
    for (const FleetPlan::Entry& entry : plan_.entries)
        hosts_[entry.name] = host++;
    host = 101;
    for (const FleetPlan::Place& minion : plan_.minions)
        hosts_[minion.name] = host++;
}

Fleet::~Fleet()
{
    for (const auto& [name, process] : processes_)
        ::kill(process, SIGKILL);
    for (const auto& [name, process] : processes_)
        ::waitpid(process, nullptr, 0);
}

Address Fleet::address(const std::string& name, int port) const
{
    return { network_ + std::to_string(hosts_.at(name)), port };
}

std::string Fleet::newId()
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%08x%08x", static_cast<unsigned>(getpid()), static_cast<unsigned>(++lastId_));
    return text.data();
}

void Fleet::run(const std::string& name, const std::string& settings, bool isFounding)
{
    settings_[name] = settings;
    const std::string file = folder_ + "/" + name + ".yaml";
    std::string seeds;
    for (const char* keeper : keeperNames)
        seeds += (seeds.empty() ? "" : ",") + textOf(address(keeper, controlPort));
    std::ofstream(file) << "node: \"" << name << "\"\naddress: \"" << address(name, 0).ip << "\"\npeer_port: " << peerPort << "\nseeds: [" << seeds
                        << "]\nfounding: " << (isFounding ? "true" : "false") << "\ncatch_up_s: 4\nresubmit_ms: 1300\nlost_disks: 1\nmemory_mb: 260\nmax_descriptors: 1024\n"
                        << settings;
    const std::string log = folder_ + "/" + name + ".log";
    const pid_t process = ::fork();
    if (process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        // A file beyond the limit of refuseWrites() then only fails. The limit would hold for a log file too.
        ::signal(SIGXFSZ, SIG_IGN);
        const bool isKeeper = std::find(keeperNames.begin(), keeperNames.end(), name) != keeperNames.end();
        const int output = ::open(isKeeper ? "/dev/null" : log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execl(program_.c_str(), program_.c_str(), "--fleet", file.c_str(), nullptr);
        ::_exit(127);
    }
    processes_[name] = process;
}

bool Fleet::start()
{
    const std::array<const char*, 3> zones { "bole", "merkato", "piassa" };
    for (size_t i = 0; i < keeperNames.size(); ++i) {
        const std::string name = keeperNames[i];
        std::filesystem::create_directories(folder_ + "/" + name);
        std::ostringstream settings;
        settings << "data_centre: \"" << zones.at(i) << "\"\ncontrol: " << textOf(address(name, controlPort)) << "\ndata_folder: \"" << folder_ << "/" << name << "\"\n";
        run(name, settings.str(), true);
    }
    for (const FleetPlan::Entry& entry : plan_.entries) {
        std::ostringstream settings;
        settings << "data_centre: \"" << entry.zone << "\"\ncores: " << entry.cores << "\ncallers: " << textOf(address(entry.name, callersPort)) << "\nreadiness: " << textOf(address(entry.name, readinessPort)) << "\n";
        run(entry.name, settings.str(), true);
    }
    for (const FleetPlan::Place& place : plan_.minions) {
        minions_[place.name] = std::make_unique<Minion>(MinionOptions { place.name, address(place.name, minionPort), place.zone, "work", place.cpu, keepers() }, book_, record_);
        if (!minions_[place.name]->isListening())
            return false;
    }
    return publish(1) && std::all_of(plan_.entries.begin(), plan_.entries.end(), [this](const FleetPlan::Entry& entry) { return awaitService(entry.name); });
}

std::vector<Address> Fleet::keepers() const
{
    std::vector<Address> keepers;
    keepers.reserve(keeperNames.size());
    for (const char* keeper : keeperNames)
        keepers.push_back(address(keeper, controlPort));
    return keepers;
}

Minion& Fleet::addMinion(const FleetPlan::Place& place, const std::string& keeper)
{
    hosts_[place.name] = 150 + static_cast<int>(minions_.size());
    std::vector<Address> order = keepers();
    std::stable_partition(order.begin(), order.end(), [&](const Address& each) { return each.ip == address(keeper, 0).ip; });
    minions_[place.name] = std::make_unique<Minion>(MinionOptions { place.name, address(place.name, minionPort), place.zone, "work", place.cpu, order }, book_, record_);
    return *minions_[place.name];
}

void Fleet::restart(const std::string& name)
{
    record_.write("restart of " + name);
    const std::string settings = settings_.at(name);
    run(name, settings, false);
}

void Fleet::terminate(const std::string& name)
{
    record_.write("SIGTERM to " + name);
    ::kill(processes_.at(name), SIGTERM);
}

bool Fleet::publish(int version)
{
    const Clock::time_point deadline = Clock::now() + startTimeout;
    for (size_t tried = 0; Clock::now() < deadline; ++tried) {
        if (callKeeper(tried % keeperNames.size(), { "PUT", "/config", {}, configuration(version) }).status == 200)
            return true;
        std::this_thread::sleep_for(pollInterval);
    }
    return false;
}

bool Fleet::awaitService(const std::string& entry)
{
    const Clock::time_point deadline = Clock::now() + startTimeout;
    while (Clock::now() < deadline) {
        const bool isReady = call(address(entry, readinessPort), { "GET", "/readyz", {}, "" }, Millis(500)).status == 200;
        if (isReady && submit(entry, { newId(), "work 20", 100, 20, 1500 }).status == 200)
            return true;
        std::this_thread::sleep_for(pollInterval);
    }
    return false;
}

void Fleet::kill(const std::string& name)
{
    const pid_t process = processes_.at(name);
    record_.write("SIGKILL to " + name);
    ::kill(process, SIGKILL);
    ::waitpid(process, nullptr, 0);
    processes_.erase(name);
}

bool Fleet::refuseWrites(const std::string& keeper, bool isRefused)
{
    record_.write("the disk of " + keeper + (isRefused ? " refuses writes" : " takes writes again"));
    const rlimit limit { isRefused ? 1 : RLIM_INFINITY, RLIM_INFINITY };
    return ::prlimit(processes_.at(keeper), RLIMIT_FSIZE, &limit, nullptr) == 0;
}

std::string Fleet::configuration(int version, int addedRoutes) const
{
    json body { { "version", version },
        { "routes", { { { "name", "r-work" }, { "host", "jobs.example" }, { "path_prefix", "/work/" }, { "kind", "non_idempotent" }, { "timeout_ms", 1500 }, { "target_latency_ms", 60 }, { "priority", 0 }, { "service", "work" }, { "max_attempts", 4 }, { "stretch", 1.6 } } } },
        { "services", { { { "name", "work" }, { "health_path", "/healthz" }, { "max_connections", 64 }, { "protocol", "h1" }, { "tls", false }, { "admission_check", true }, { "standby", false } } } },
        { "limits", { { "max_header_bytes", 16384 }, { "max_body_bytes", 262144 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } } } };
    for (int i = 1; i <= addedRoutes; ++i) {
        json route = body["routes"][0];
        route["name"] = "r-added-" + std::to_string(i);
        route["path_prefix"] = "/added-" + std::to_string(i) + "/";
        body["routes"].push_back(route);
    }
    return body.dump();
}

Response Fleet::submit(const std::string& entry, const Job& job)
{
    const json body { { "spec", job.work + " " + std::to_string(job.cpu) }, { "best_effort", true },
        { "steps", { { { "count", 1 }, { "cpu", job.cpu }, { "mem_mb", 64 }, { "estimated_ms", job.estimatedMs } } } } };
    return call(address(entry, callersPort), { "POST", "/work/" + job.id, { { "host", "jobs.example" }, { "x-trefoilwing-deadline-ms", std::to_string(job.waitMs) } }, body.dump() }, Millis(job.waitMs));
}

Response Fleet::ask(const std::string& entry, const std::string& method, const std::string& path)
{
    return call(address(entry, callersPort), { method, path, { { "host", "jobs.example" } }, "" }, Millis(1000));
}

Response Fleet::callKeeper(size_t index, const Request& request)
{
    return call(address(keeperNames.at(index), controlPort), request, Millis(3000));
}

} // namespace review
