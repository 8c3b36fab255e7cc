#pragma once

#include "Minion.h"

#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

namespace review {

struct Node {
    std::string name;
    std::string zone;
    std::string address;
    bool isKeeper = false;
    pid_t process = 0;
};

/// A small deployment on loopback: keepers and entries as processes of the project's own program, and stand-in minions.
class Fleet {
public:
    /// @param folder for settings, logs and disks.
    Fleet(std::string folder, Record&, TaskWatch&);
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    /// Starts three keepers, two entries in each of two zones, and minions; sends a config; waits until all entries serve.
    /// @return whether all entries served within half a minute.
    bool start(size_t minionsPerZone);

    const Node& node(const std::string& name) const;
    Endpoint callers(const std::string& entry) const;
    Endpoint control(const std::string& keeper) const;
    std::vector<std::unique_ptr<Minion>>& minions() { return minions_; }
    /// @return the name of the entry that owns a zone's minions, by the newest grant in the logs; empty if there is none.
    std::string ownerOf(const std::string& zone) const;
    /// @return the name of the keeper that leads, by the logs; empty if none is known.
    std::string leader() const;
    void signal(const std::string& node, int number);
    /// Kills a process.
    /// @param losesDisk whether its data folder is deleted, too.
    void kill(const std::string& node, bool losesDisk);
    /// Starts a process that was killed, with the present settings; the fleet isn't founded any more.
    void restart(const std::string& node);
    /// Starts a keeper on a new machine with an empty disk.
    void addKeeper(const std::string& name, const std::string& zone);

    /// Sends a config with this version to a keeper.
    /// @return the status of the answer; 0 if there was none within a second.
    int publish(const std::string& keeper, int version);
    /// Reads the config at a keeper.
    /// @return its version, or 0 if the keeper doesn't answer with one.
    int readVersion(const std::string& keeper);

    /// Submits a job of equal tasks that isn't stored, and waits for its answer.
    /// @return the status of the answer; 0 if there was none within the time that the caller waits.
    int submit(const std::string& entry, const std::string& id, int tasks, int milliseconds, Milliseconds wait);
    static std::string jobPath(const std::string& id);
    static std::string host();

private:
    void startProcess(Node&, bool isFounding);
    Node& find(const std::string& name);
    void endProcesses();
    std::string logOf(const Node&) const;

    const std::string folder_;
    Record& record_;
    TaskWatch& watch_;
    std::vector<Node> nodes_;
    std::string network_;
    std::vector<std::unique_ptr<Minion>> minions_;
};

} // namespace review
