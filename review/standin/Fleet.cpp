#include "Fleet.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

    using nlohmann::json;

    constexpr const char* program = "target/Source/Daemon/trefoilwing";
    constexpr int callersPort = 8161;
    constexpr int readinessPort = 8167;
    constexpr int controlPort = 8166;
    constexpr int peerPort = 7720;
    constexpr int metricsPort = 9464;
    constexpr int minionPort = 8080;
    constexpr int firstMinionHost = 100;
    constexpr int firstAddedHost = 50;
    constexpr int taskMilliCores = 4000;
    constexpr int notStarted = 127;
    constexpr int firstVersion = 7;
    constexpr Milliseconds pollInterval { 50 };
    constexpr Milliseconds operatorTimeout { 1000 };
    constexpr Milliseconds startTimeout { 30000 };

    /// @return the prefix of a loopback network that belongs to this process.
    std::string loopbackNetwork()
    {
        constexpr int first = 10;
        constexpr int count = 200;
        const int id = getpid();
        return "127." + std::to_string(first + id % count) + "." + std::to_string(first + id / count % count) + ".";
    }

    /// @return the value of a field in a line of a log; empty if the line doesn't have it.
    std::string fieldOf(const std::string& line, const std::string& name)
    {
        const size_t at = line.find(" " + name + "=");
        const size_t begin = at + name.size() + 2;
        return at == std::string::npos ? std::string() : line.substr(begin, line.find(' ', begin) - begin);
    }

    std::string configuration(int version)
    {
        const json route { { "name", "r-1" }, { "host", Fleet::host() }, { "path_prefix", "/work/" }, { "kind", "non_idempotent" }, { "timeout_ms", 1500 },
            { "target_latency_ms", 60 }, { "priority", 0 }, { "service", "work" }, { "max_attempts", 4 }, { "stretch", 1.6 } };
        const json service { { "name", "work" }, { "health_path", "/healthz" }, { "max_connections", 64 }, { "protocol", "h1" }, { "tls", false },
            { "admission_check", true }, { "standby", false } };
        const json limits { { "max_header_bytes", 16384 }, { "max_body_bytes", 262144 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } };
        return json { { "version", version }, { "routes", { route } }, { "services", { service } }, { "limits", limits } }.dump();
    }

} // namespace

Fleet::Fleet(std::string folder, Record& record, TaskWatch& watch)
    : folder_(std::move(folder))
    , record_(record)
    , watch_(watch)
    , network_(loopbackNetwork())
{
    nodes_ = { { "keeper-1", "bole", network_ + "1", true }, { "keeper-2", "merkato", network_ + "2", true }, { "keeper-3", "merkato", network_ + "3", true },
        { "entry-1", "bole", network_ + "11", false }, { "entry-2", "bole", network_ + "12", false }, { "entry-3", "merkato", network_ + "13", false },
        { "entry-4", "merkato", network_ + "14", false } };
}

Fleet::~Fleet()
{
    endProcesses();
    minions_.clear();
}

std::string Fleet::host()
{
    return "jobs.example";
}

std::string Fleet::jobPath(const std::string& id)
{
    return "/work/" + id;
}

const Node& Fleet::node(const std::string& name) const
{
    return *std::find_if(nodes_.begin(), nodes_.end(), [&](const Node& node) { return node.name == name; });
}

Endpoint Fleet::callers(const std::string& entry) const
{
    return { node(entry).address, callersPort };
}

Endpoint Fleet::control(const std::string& keeper) const
{
    return { node(keeper).address, controlPort };
}

void Fleet::startProcess(Node& node, bool isFounding)
{
    const std::string folder = folder_ + "/" + node.name;
    std::filesystem::create_directories(folder + "/data");
    const std::string settings = folder + "/settings.yaml";
    std::ofstream file(settings);
    const std::string at = "\"" + node.address + ":";
    // The fields and their order are those of deploy/settings.yaml.
    file << "node: \"" << node.name << "\"\naddress: \"" << node.address << "\"\ndata_centre: \"" << node.zone << "\"\npeer_port: " << peerPort << "\nseeds: [";
    for (const char* keeper : { "keeper-1", "keeper-2", "keeper-3" })
        file << (keeper == std::string("keeper-1") ? "\"" : ",\"") << this->node(keeper).address << ":" << controlPort << "\"";
    file << "]\n";
    if (node.isKeeper)
        file << "control: " << at << controlPort << "\"\ndata_folder: \"" << folder << "/data\"\n";
    else
        file << "callers: " << at << callersPort << "\"\nreadiness: " << at << readinessPort << "\"\n";
    file << "cores: " << (node.isKeeper ? 0.5 : 0.25) << "\nmemory_mb: " << (node.isKeeper ? 256 : 260) << "\nmetrics_port: " << metricsPort << "\nfounding: " << (isFounding ? "true" : "false") << "\nlost_disks: 1\n";
    file.close();
    const std::string log = folder + "/log";
    std::vector<std::string> words { program, "--fleet", settings };
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (std::string& word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    node.process = ::fork();
    if (node.process != 0)
        return;
    // The process ends with this one, also if this one is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::execv(program, arguments.data());
    ::_exit(notStarted);
}

void Fleet::endProcesses()
{
    for (Node& node : nodes_) {
        if (node.process <= 0)
            continue;
        ::kill(node.process, SIGKILL);
        ::waitpid(node.process, nullptr, 0);
        node.process = 0;
    }
}

void Fleet::signal(const std::string& name, int number)
{
    record_.write("signal " + std::to_string(number) + " to " + name);
    ::kill(node(name).process, number);
}

bool Fleet::start(size_t minionsPerZone)
{
    for (Node& node : nodes_)
        startProcess(node, true);
    const std::vector<Endpoint> keepers { control("keeper-1"), control("keeper-2"), control("keeper-3") };
    const Clock::time_point deadline = Clock::now() + startTimeout;
    bool isAcknowledged = false;
    for (size_t i = 0; !isAcknowledged && Clock::now() < deadline; ++i) {
        const std::array<std::string, 3> names { "keeper-1", "keeper-2", "keeper-3" };
        isAcknowledged = publish(names.at(i % names.size()), firstVersion) == 200;
        std::this_thread::sleep_for(pollInterval);
    }
    for (size_t i = 0; i < 2 * minionsPerZone; ++i) {
        const std::string zone = i % 2 == 0 ? "bole" : "merkato";
        minions_.push_back(std::make_unique<Minion>(MinionSettings { "i-" + std::to_string(i), { network_ + std::to_string(firstMinionHost + static_cast<int>(i)), minionPort }, zone, "work", keepers }, watch_));
        if (!minions_.back()->isListening())
            return false;
    }
    int number = 0;
    for (const char* entry : { "entry-1", "entry-2", "entry-3", "entry-4" }) {
        bool isServed = false;
        while (!isServed && Clock::now() < deadline) {
            const std::string digits = std::to_string(++number);
            isServed = submit(entry, std::string(16 - digits.size(), '0') + digits, 1, 50, Milliseconds(2000)) == 200;
            std::this_thread::sleep_for(pollInterval);
        }
        if (!isServed)
            return false;
    }
    // Cells go to their zone's entries, and entries hear of all grants, before the case begins.
    std::this_thread::sleep_for(Milliseconds(3000));
    return isAcknowledged && !ownerOf("bole").empty() && !ownerOf("merkato").empty();
}

Node& Fleet::find(const std::string& name)
{
    return *std::find_if(nodes_.begin(), nodes_.end(), [&](const Node& node) { return node.name == name; });
}

void Fleet::kill(const std::string& name, bool losesDisk)
{
    Node& node = find(name);
    ::kill(node.process, SIGKILL);
    ::waitpid(node.process, nullptr, 0);
    node.process = 0;
    if (losesDisk)
        std::filesystem::remove_all(folder_ + "/" + name + "/data");
    record_.write(name + " is killed" + (losesDisk ? " and its disk is lost" : ""));
}

void Fleet::restart(const std::string& name)
{
    startProcess(find(name), false);
    record_.write(name + " starts again at its address");
}

void Fleet::addKeeper(const std::string& name, const std::string& zone)
{
    nodes_.push_back({ name, zone, network_ + std::to_string(firstAddedHost + static_cast<int>(nodes_.size())), true });
    startProcess(nodes_.back(), false);
    record_.write(name + " starts at a new address with an empty disk");
}

int Fleet::publish(const std::string& keeper, int version)
{
    const int status = call(control(keeper), { "PUT", "/config", {}, configuration(version) }, operatorTimeout).value_or(Response {}).status;
    record_.write("PUT /config with version " + std::to_string(version) + " at " + keeper + ": " + (status > 0 ? std::to_string(status) : "no answer"));
    return status;
}

int Fleet::readVersion(const std::string& keeper)
{
    const Response response = call(control(keeper), { "GET", "/config", {}, {} }, operatorTimeout).value_or(Response {});
    const json body = json::parse(response.body, nullptr, false);
    const int version = response.status == 200 && body.is_object() ? body.value("version", 0) : 0;
    record_.write("GET /config at " + keeper + ": " + (response.status > 0 ? std::to_string(response.status) : "no answer") + (version > 0 ? ", version " + std::to_string(version) : ""));
    return version;
}

std::string Fleet::leader() const
{
    std::string newest;
    std::string leader;
    for (const Node& node : nodes_) {
        std::istringstream log(logOf(node));
        for (std::string line; std::getline(log, line);) {
            if (fieldOf(line, "event") == "leader_known" && line.substr(0, line.find(' ')) > newest) {
                newest = line.substr(0, line.find(' '));
                leader = fieldOf(line, "leader");
            }
        }
    }
    const auto found = std::find_if(nodes_.begin(), nodes_.end(), [&](const Node& node) { return node.address == leader; });
    return found == nodes_.end() ? std::string() : found->name;
}

std::string Fleet::logOf(const Node& node) const
{
    std::ifstream file(folder_ + "/" + node.name + "/log");
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string Fleet::ownerOf(const std::string& zone) const
{
    unsigned long highest = 0;
    std::string owner;
    for (const Node& node : nodes_) {
        std::istringstream log(logOf(node));
        for (std::string line; std::getline(log, line);) {
            if (fieldOf(line, "event") != "cell_granted" || fieldOf(line, "cell") != zone)
                continue;
            const unsigned long epoch = std::strtoul(fieldOf(line, "epoch").c_str(), nullptr, 10);
            if (epoch > highest) {
                highest = epoch;
                owner = fieldOf(line, "owner");
            }
        }
    }
    const auto found = std::find_if(nodes_.begin(), nodes_.end(), [&](const Node& node) { return node.address == owner; });
    return found == nodes_.end() ? std::string() : found->name;
}

int Fleet::submit(const std::string& entry, const std::string& id, int tasks, int milliseconds, Milliseconds wait)
{
    const json step { { "count", tasks }, { "cpu", taskMilliCores }, { "mem_mb", 64 }, { "estimated_ms", milliseconds } };
    const json body { { "spec", std::to_string(milliseconds) + " " + std::to_string(taskMilliCores) }, { "best_effort", true }, { "steps", { step } } };
    record_.write("job " + id + " (" + std::to_string(tasks) + " tasks of " + std::to_string(milliseconds) + " ms) is sent to " + entry);
    const auto response = call(callers(entry), { "POST", jobPath(id), { { "Host", host() }, { "X-Trefoilwing-Deadline-Ms", std::to_string(wait.count()) } }, body.dump() }, wait);
    record_.write("job " + id + " at " + entry + ": " + (response ? std::to_string(response->status) + " " + response->body : "no answer in " + std::to_string(wait.count()) + " ms, the caller closes its channel"));
    return response ? response->status : 0;
}

} // namespace review
