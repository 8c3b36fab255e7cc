#pragma once

#include "Control/HostStorage.h"
#include "Control/ReplicatedGroup.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace trefoilwing {

/// The faults that the network applies to messages.
struct NetworkFaults {
    uint32_t dropPercent = 0;
    uint32_t duplicatePercent = 0;
    absl::Duration maxExtraDelay = absl::ZeroDuration();
};

/// Simulates the daemons of one group with a fake network, fake disks and a fake clock.
///
/// All events are processed in the order of their simulated times, so a seed makes a run reproducible.
class GroupCluster {
public:
    using Factory = std::function<std::unique_ptr<ReplicatedGroup>(size_t host, LogSettings, JournalContent, GroupPorts)>;

    struct Options {
        size_t hosts = 3;
        /// Hosts from this one on have no disk.
        size_t hostsWithDisk = 3;
        /// If not 0, the settings name only this many hosts, from the first one on, and the hosts know the others as contacts.
        size_t seeds = 0;
        uint32_t maxVoters = 5;
        uint64_t maxEntries = 20000;
        absl::Duration voterTimeout = absl::InfiniteDuration();
        bool keepsOddVoters = false;
        uint32_t minSyncedDisks = 1;
        /// Whether only the first start of a host may found the group.
        bool foundsOnce = false;
        absl::Duration claimGuard = absl::ZeroDuration();
        uint64_t seed = 1;
        /// Makes the empty disk of a host.
        std::function<std::unique_ptr<HostStorage>()> makeStorage = [] { return std::make_unique<MemoryStorage>(); };
    };

    GroupCluster(Options, Factory);
    ~GroupCluster();

    /// Starts one more host with an empty disk.
    /// @return its index.
    size_t addHost();
    ReplicatedGroup* group(size_t host);
    size_t size() const { return hosts_.size(); }
    absl::Time now() const { return now_; }
    uint64_t messagesSent() const { return messagesSent_; }

    /// Advances the clock without running anything.
    void skip(absl::Duration duration) { now_ += duration; }
    /// Runs all events of the given period.
    void run(absl::Duration);
    /// Runs until the condition holds.
    /// @return false if it doesn't hold within the time limit.
    bool runUntil(const std::function<bool()>& condition, absl::Duration atMost = absl::Seconds(20));
    /// @return the index of the leading host, or size() if there is none.
    size_t leader() const;
    bool hasLeader() const { return leader() < size(); }
    /// @return whether there is a leader, all hosts are up and up to date, and no change of members is outstanding.
    bool isWhole() const;

    /// @param surviving number of unsynced batches that reached the disk nevertheless.
    void crash(size_t host, size_t surviving = 0);
    void restart(size_t host);
    /// Lets a host that has crashed lose power too.
    void losePower(size_t host) { storageOf(host).losePower(); }
    /// @return the number of starts at which a host couldn't open its journal.
    size_t failedStarts() const { return failedStarts_; }
    void loseDisk(size_t host);
    void freeze(size_t host);
    void resume(size_t host);
    void cut(const std::set<size_t>& side);
    void heal();
    void setFaults(NetworkFaults faults) { faults_ = faults; }
    void setSyncTime(size_t host, absl::Duration time);
    /// Makes a host's disk refuse writes. Batches that are not synced yet, and later ones, wait for repairDisk().
    void failDisk(size_t host);
    void repairDisk(size_t host);
    void repairAll();

private:
    struct Host;
    struct InFlight {
        size_t from;
        size_t to;
        LogMessage message;
    };

    void start(Host&);
    HostStorage& storageOf(size_t host);
    void send(size_t from, const DaemonId& to, const PeerMessage&);
    void enqueue(absl::Time at, InFlight);
    void deliver(const InFlight&);
    absl::Time nextEvent() const;
    void runDue();
    uint64_t below(uint64_t bound) { return engine_() % bound; }

    Options options_;
    Factory factory_;
    absl::Time now_ = absl::FromUnixSeconds(1000);
    std::mt19937_64 engine_;
    NetworkFaults faults_;
    std::vector<std::unique_ptr<Host>> hosts_;
    std::multimap<absl::Time, InFlight> network_;
    std::set<size_t> side_;
    uint64_t storages_ = 0;
    bool mayFound_ = true;
    uint64_t messagesSent_ = 0;
    size_t failedStarts_ = 0;
};

} // namespace trefoilwing
