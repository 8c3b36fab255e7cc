#pragma once

#include "Fleet/FleetCaller.h"
#include "Fleet/FleetMinions.h"
#include "System/ChildProcess.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace trefoilwing {

/// Three keepers, four entries and six minions in two data centres on loopback, as separate processes.
class Fleet {
public:
    Fleet();
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    /// The share of a core that each process says it has; before startAll().
    void setCores(double cores) { cores_ = cores; }
    /// Adds minions to both data centres; before startAll().
    void addMinions(int count);
    void startAll();
    void startNode(const std::string& name, bool isFounding);
    ChildProcess& node(const std::string& name) { return *processes_.at(name); }
    void wipe(const std::string& keeper);
    std::string logOf(const std::string& name) const;

    Endpoint callers(const std::string& entry) const;
    Endpoint control(const std::string& keeper) const;
    static const std::vector<std::string>& entries();
    static const std::vector<std::string>& keepers();

    FleetCaller& caller() { return caller_; }
    FleetMinions& minions() { return *minions_; }

    /// Publishes a version at any keeper that acknowledges it in time.
    bool publish(int version);
    /// Waits until a job completes at each entry given.
    bool awaitService(const std::vector<std::string>& entries);
    /// @return the entry that owns the cell of a data centre, by the log.
    std::string ownerOf(const std::string& dataCentre);
    /// Waits until an entry's log says that a cell of this name was granted.
    bool awaitGrant(const std::string& entry, const std::string& cell) const;

private:
    std::string loggedOwnerOf(const std::string& dataCentre) const;
    std::string addressOf(const std::string& name) const;

    const std::string network_;
    const std::string folder_;
    FleetCaller caller_;
    std::unique_ptr<FleetMinions> minions_;
    int minionCount_ = 0;
    double cores_ = 1;
    std::map<std::string, std::unique_ptr<ChildProcess>> processes_;
};

} // namespace trefoilwing
