#pragma once

#include "Http.h"
#include "Minion.h"
#include "Record.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

namespace review {

/// A job of one task, as a client hands it in.
struct Job {
    std::string id;
    /// What the task does, see Minion.
    std::string work;
    int64_t cpu = 0;
    int64_t estimatedMs = 0;
    int64_t waitMs = 0;
};

/// Places and sizes of a fleet.
struct FleetPlan {
    struct Entry {
        std::string name;
        std::string zone;
        double cores = 1;
    };
    struct Place {
        std::string name;
        std::string zone;
        int64_t cpu = 0;
    };
    std::vector<Entry> entries;
    std::vector<Place> minions;
};

/// Three keepers and some entries as processes of their own, with stand-ins for the minions, the clients and the operator.
class Fleet {
public:
    Fleet(const std::string& program, const std::string& folder, const FleetPlan& plan, Record& record);
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    /// Starts all, publishes the first configuration and waits until each entry serves.
    /// @return whether that succeeded.
    bool start();
    /// Sends SIGKILL to a process and waits for its end.
    void kill(const std::string& name);
    /// Starts a process again that was killed.
    void restart(const std::string& name);
    /// Sends SIGTERM to a process.
    void terminate(const std::string& name);
    /// Lets a keeper's disk refuse every write, or take writes again, by the limit on the size of its files.
    /// @return whether the limit was set.
    bool refuseWrites(const std::string& keeper, bool isRefused);

    Minion& minion(const std::string& id) { return *minions_.at(id); }
    /// Adds a minion that reports to one keeper first.
    Minion& addMinion(const FleetPlan::Place& place, const std::string& keeper);
    std::map<std::string, std::unique_ptr<Minion>>& minions() { return minions_; }
    RunBook& book() { return book_; }

    /// Hands a job in and waits for the answer.
    Response submit(const std::string& entry, const Job& job);
    /// Sends a request without a body to a path, as a client does.
    Response ask(const std::string& entry, const std::string& method, const std::string& path);
    Response callKeeper(size_t index, const Request& request);
    /// @param addedRoutes the number of routes beside the first, with the prefixes "/added-1/" and so on.
    std::string configuration(int version, int addedRoutes = 0) const;
    /// @return a new job id.
    std::string newId();

private:
    Address address(const std::string& name, int port) const;
    std::vector<Address> keepers() const;
    void run(const std::string& name, const std::string& settings, bool isFounding);
    bool publish(int version);
    bool awaitService(const std::string& entry);

    const std::string program_;
    const std::string folder_;
    const FleetPlan plan_;
    Record& record_;
    std::string network_;
    std::map<std::string, int> hosts_;
    std::map<std::string, pid_t> processes_;
    std::map<std::string, std::string> settings_;
    RunBook book_;
    std::map<std::string, std::unique_ptr<Minion>> minions_;
    std::atomic<uint64_t> lastId_ { 0 };
};

/// @return the name of a job's only task.
std::string taskOf(const std::string& job);

} // namespace review
