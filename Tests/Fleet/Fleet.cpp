#include "Fleet/Fleet.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <unistd.h>

namespace trefoilwing {

namespace {

    constexpr int peerPort = 7720;
    constexpr int callersPort = 8161;
    constexpr int readinessPort = 8167;
    constexpr int controlPort = 8166;
    constexpr int minionPort = 8080;
    constexpr int initialMinionCount = 6;
    constexpr absl::Duration taskTime = absl::Milliseconds(30);
    constexpr absl::Duration serviceTimeout = absl::Seconds(60);
    constexpr absl::Duration pollInterval = absl::Milliseconds(50);

    struct NodeRow {
        const char* name;
        const char* dataCentre;
        bool isKeeper;
        int host;
    };

    constexpr std::array<NodeRow, 7> nodeRows { {
        { "keeper-1", "bole", true, 1 },
        { "keeper-2", "merkato", true, 2 },
        { "keeper-3", "merkato", true, 3 },
        { "entry-1", "bole", false, 11 },
        { "entry-2", "bole", false, 12 },
        { "entry-3", "merkato", false, 13 },
        { "entry-4", "merkato", false, 14 },
    } };

    const NodeRow& rowOf(const std::string& name)
    {
        return *std::find_if(nodeRows.begin(), nodeRows.end(), [&](const NodeRow& row) { return name == row.name; });
    }

    /// @return the prefix of a loopback network for this test process only, so that tests may run in parallel.
    std::string loopbackNetwork()
    {
        constexpr int firstNumber = 10;
        constexpr int numbers = 200;
        return absl::StrCat("127.", firstNumber + getpid() % numbers, ".", firstNumber + getpid() / numbers % numbers, ".");
    }

    std::string temporaryFolder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "fleet-XXXXXX").string();
        return mkdtemp(name.data());
    }

} // namespace

Fleet::Fleet()
    : network_(loopbackNetwork())
    , folder_(temporaryFolder())
{
    std::vector<Endpoint> keeperEndpoints;
    for (const std::string& keeper : keepers())
        keeperEndpoints.push_back(control(keeper));
    minions_ = std::make_unique<FleetMinions>(keeperEndpoints, taskTime);
    addMinions(initialMinionCount);
}

Fleet::~Fleet()
{
    processes_.clear();
    minions_.reset();
    std::filesystem::remove_all(folder_);
}

const std::vector<std::string>& Fleet::entries()
{
    static const std::vector<std::string> names { "entry-1", "entry-2", "entry-3", "entry-4" };
    return names;
}

const std::vector<std::string>& Fleet::keepers()
{
    static const std::vector<std::string> names { "keeper-1", "keeper-2", "keeper-3" };
    return names;
}

std::string Fleet::addressOf(const std::string& name) const
{
    return absl::StrCat(network_, rowOf(name).host);
}

Endpoint Fleet::callers(const std::string& entry) const
{
    return { addressOf(entry), callersPort };
}

Endpoint Fleet::peerPortOf(const std::string& name) const
{
    return { addressOf(name), peerPort };
}

Endpoint Fleet::readiness(const std::string& entry) const
{
    return { addressOf(entry), readinessPort };
}

Endpoint Fleet::control(const std::string& keeper) const
{
    return { addressOf(keeper), controlPort };
}

void Fleet::addMinions(int count)
{
    for (int i = 0; i < count; ++i, ++minionCount_)
        minions_->add(absl::StrCat("minion-", minionCount_), { absl::StrCat(network_, 100 + minionCount_), minionPort }, minionCount_ % 2 == 0 ? "bole" : "merkato");
}

void Fleet::startAll()
{
    for (const NodeRow& row : nodeRows)
        startNode(row.name, true);
    minions_->start();
}

void Fleet::startNode(const std::string& name, bool isFounding)
{
    const NodeRow& row = rowOf(name);
    const std::string settings = absl::StrCat(folder_, "/", name, ".yaml");
    std::ofstream file(settings);
    file << "node: " << name << "\naddress: " << addressOf(name) << "\ndata_centre: " << row.dataCentre << "\npeer_port: " << peerPort
         << "\nfounding: " << (isFounding ? "true" : "false") << "\nlost_disks: 1\ncores: " << cores_ << "\nsecond_choices: " << secondChoices_ << "\nmemory_mb: " << memory_ << "\nseeds: [";
    for (const std::string& keeper : keepers())
        file << (keeper == keepers().front() ? "" : ", ") << '"' << addressOf(keeper) << ':' << controlPort << '"';
    file << "]\n";
    if (offersEvacuations_)
        file << "evacuation_ms: 5000\ndata_centres: [bole, merkato]\n";
    if (row.isKeeper)
        file << "control: \"" << addressOf(name) << ':' << controlPort << "\"\ndata_folder: " << folder_ << "/" << name << "\n";
    else
        file << "callers: \"" << addressOf(name) << ':' << callersPort << "\"\nreadiness: \"" << addressOf(name) << ':' << readinessPort << "\"\n";
    file.close();
    std::filesystem::create_directories(absl::StrCat(folder_, "/", name));
    std::vector<std::string> command { TREFOILWING_DAEMON, "--fleet", settings };
    if (descriptors_ > 0)
        command = { "/bin/sh", "-c", absl::StrCat("ulimit -n ", descriptors_, " && exec ", TREFOILWING_DAEMON, " --fleet ", settings) };
    processes_[name] = std::make_unique<ChildProcess>(command, absl::StrCat(folder_, "/", name, ".log"));
}

void Fleet::deleteDataFolder(const std::string& keeper)
{
    std::filesystem::remove_all(absl::StrCat(folder_, "/", keeper));
}

void Fleet::damageJournal(const std::string& keeper)
{
    std::vector<std::filesystem::path> segments;
    for (const auto& entry : std::filesystem::directory_iterator(absl::StrCat(folder_, "/", keeper, "/fleet"))) {
        if (absl::StartsWith(entry.path().filename().string(), "segment-"))
            segments.push_back(entry.path());
    }
    std::fstream file(*std::min_element(segments.begin(), segments.end()), std::ios::in | std::ios::out | std::ios::binary);
    constexpr std::streamoff insideFirstBlock = 24;
    file.seekg(insideFirstBlock);
    const auto changed = static_cast<char>(file.get() ^ 1);
    file.seekp(insideFirstBlock);
    file.put(changed);
}

std::string Fleet::logOf(const std::string& name) const
{
    std::ifstream file(absl::StrCat(folder_, "/", name, ".log"));
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

bool Fleet::publish(int version)
{
    const absl::Time end = absl::Now() + serviceTimeout;
    while (absl::Now() < end) {
        for (const std::string& keeper : keepers()) {
            if (caller_.call(control(keeper), "PUT", "/config", FleetCaller::configuration(version)).status == 200)
                return true;
        }
        absl::SleepFor(pollInterval);
    }
    return false;
}

bool Fleet::evacuate(const std::string& dataCentre, bool isEvacuated)
{
    const absl::Time end = absl::Now() + serviceTimeout;
    while (absl::Now() < end) {
        for (const std::string& keeper : keepers()) {
            if (caller_.call(control(keeper), isEvacuated ? "POST" : "DELETE", "/evacuations/" + dataCentre).status == 200)
                return true;
        }
        absl::SleepFor(pollInterval);
    }
    return false;
}

bool Fleet::awaitEvacuation(const std::string& dataCentre, bool isEvacuated) const
{
    const std::string line = absl::StrCat("event=evacuation_in_force data_centre=", dataCentre, " evacuated=", isEvacuated ? "yes" : "no");
    const auto isInForce = [&](const std::string& entry) { return absl::StrContains(logOf(entry), line); };
    const absl::Time end = absl::Now() + serviceTimeout;
    while (!std::all_of(entries().begin(), entries().end(), isInForce) && absl::Now() < end)
        absl::SleepFor(pollInterval);
    return std::all_of(entries().begin(), entries().end(), isInForce);
}

bool Fleet::awaitService(const std::vector<std::string>& entries)
{
    const absl::Time end = absl::Now() + serviceTimeout;
    size_t served = 0;
    int number = 0;
    while (served < entries.size() && absl::Now() < end) {
        const std::string id = absl::StrCat(absl::Hex(0xf000000000000000UL + static_cast<uint64_t>(getpid()) * 100000 + static_cast<uint64_t>(++number)));
        const std::string body = R"({"spec":"probe","best_effort":true,"steps":[{"count":1,"cpu":4000,"mem_mb":64,"estimated_ms":30}]})";
        if (caller_.call(callers(entries[served]), "POST", "/work/" + id, body).status == 200)
            ++served;
        else
            absl::SleepFor(pollInterval);
    }
    return served == entries.size();
}

std::string Fleet::ownerOf(const std::string& dataCentre)
{
    // The log is written with a delay, so poll it.
    const absl::Time end = absl::Now() + serviceTimeout;
    std::string owner = loggedOwnerOf(dataCentre);
    while (owner.empty() && absl::Now() < end) {
        absl::SleepFor(pollInterval);
        owner = loggedOwnerOf(dataCentre);
    }
    return owner;
}

bool Fleet::awaitGrant(const std::string& entry, const std::string& cell) const
{
    const std::string line = absl::StrCat("cell=", cell, " ");
    const absl::Time end = absl::Now() + serviceTimeout;
    while (!absl::StrContains(logOf(entry), line) && absl::Now() < end)
        absl::SleepFor(pollInterval);
    return absl::StrContains(logOf(entry), line);
}

std::string Fleet::loggedOwnerOf(const std::string& dataCentre) const
{
    uint64_t highest = 0;
    std::string owner;
    const std::string text = logOf("entry-4");
    for (const absl::string_view line : absl::StrSplit(text, '\n')) {
        if (!absl::StrContains(line, "event=cell_granted") || !absl::StrContains(line, absl::StrCat("cell=", dataCentre)))
            continue;
        const std::vector<std::string> afterEpoch = absl::StrSplit(line, "epoch=");
        const std::vector<std::string> afterOwner = absl::StrSplit(line, "owner=");
        uint64_t epoch = 0;
        if (afterEpoch.size() < 2 || afterOwner.size() < 2 || !absl::SimpleAtoi(afterEpoch[1], &epoch) || epoch < highest)
            continue;
        highest = epoch;
        owner = std::vector<std::string>(absl::StrSplit(afterOwner[1], ' ')).front();
    }
    for (const std::string& entry : entries()) {
        if (addressOf(entry) == owner)
            return entry;
    }
    return {};
}

} // namespace trefoilwing
