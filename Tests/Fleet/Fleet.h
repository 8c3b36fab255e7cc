#pragma once

#include "Fleet/FleetCaller.h"
#include "Fleet/FleetMinions.h"
#include "System/ChildProcess.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace trefoilwing {

/// A fleet on loopback, in two data centres: three keepers and four entries as separate processes, and six stand-in
/// minions in the test's process.
class Fleet {
public:
    Fleet();
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    /// Sets the number of cores in the settings of each process. Call this before startAll().
    void setCores(double cores) { cores_ = cores; }
    /// Lets operators evacuate both data centres. Call this before startAll().
    void offerEvacuations() { offersEvacuations_ = true; }
    /// Sets the number of further cells that rejected jobs are offered to. Call this before startAll().
    void setSecondChoices(int count) { secondChoices_ = count; }
    /// Sets the memory, in megabytes, in the settings of each process. Call this before startAll().
    void setMemory(int megabytes) { memory_ = megabytes; }
    /// Sets the maximum number of open descriptors of each process. Call this before startAll().
    void setDescriptors(int descriptors) { descriptors_ = descriptors; }
    /// Adds minions, alternately to both data centres. Call this before startAll().
    void addMinions(int count);
    void startAll();
    void startNode(const std::string& name, bool isFounding);
    ChildProcess& node(const std::string& name) { return *processes_.at(name); }
    void deleteDataFolder(const std::string& keeper);
    /// Changes a byte in the middle of the journal of a keeper that doesn't run.
    void damageJournal(const std::string& keeper);
    std::string logOf(const std::string& name) const;

    Endpoint callers(const std::string& entry) const;
    Endpoint peerPortOf(const std::string& name) const;
    Endpoint readiness(const std::string& entry) const;
    Endpoint control(const std::string& keeper) const;
    static const std::vector<std::string>& entries();
    static const std::vector<std::string>& keepers();

    FleetCaller& caller() { return caller_; }
    FleetMinions& minions() { return *minions_; }

    /// Publishes a version of the configuration, at each keeper in turn until one acknowledges it.
    /// @return whether one did within a minute.
    bool publish(int version);
    /// Orders the evacuation of a data centre, or its withdrawal, at each keeper in turn until one acknowledges it.
    /// @return whether one did within a minute.
    bool evacuate(const std::string& dataCentre, bool isEvacuated);
    /// Waits until the log of each entry says that the evacuation of the data centre, or its end, is in force there.
    /// @return whether that was so within a minute.
    bool awaitEvacuation(const std::string& dataCentre, bool isEvacuated) const;
    /// Waits until a job has completed at each of these entries.
    /// @return whether that was so within a minute.
    bool awaitService(const std::vector<std::string>& entries);
    /// @return the entry that owns the cell of a data centre, according to the log of entry-4.
    std::string ownerOf(const std::string& dataCentre);
    /// Waits until an entry's log shows the grant of the cell with this name.
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
    bool offersEvacuations_ = false;
    int secondChoices_ = 0;
    int memory_ = 256;
    /// 0 leaves the limit that the processes inherit.
    int descriptors_ = 0;
    std::map<std::string, std::unique_ptr<ChildProcess>> processes_;
};

} // namespace trefoilwing
