#pragma once

#include "Control/ReplicatedGroup.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace trefoilwing {

/// How the network treats messages.
struct NetworkFaults {
    uint32_t dropPercent = 0;
    uint32_t duplicatePercent = 0;
    absl::Duration maxExtraDelay = absl::ZeroDuration();
};

/// The daemons of one group over a network, disks and a clock that are all fakes.
///
/// Everything happens in the order of its time, so that a seed fixes a run.
class GroupCluster {
public:
    using Factory = std::function<std::unique_ptr<ReplicatedGroup>(size_t host, LogSettings, JournalContent, GroupPorts)>;

    struct Options {
        size_t hosts = 3;
        /// Hosts from this one on have no disk.
        size_t hostsWithDisk = 3;
        uint32_t maxVoters = 5;
        uint64_t maxEntries = 20000;
        absl::Duration claimGuard = absl::ZeroDuration();
        uint64_t seed = 1;
    };

    GroupCluster(Options, Factory);
    ~GroupCluster();

    ReplicatedGroup* group(size_t host);
    size_t size() const { return hosts_.size(); }
    absl::Time now() const { return now_; }
    uint64_t messagesSent() const { return messagesSent_; }

    /// Lets time pass while nothing runs.
    void skip(absl::Duration duration) { now_ += duration; }
    /// Runs everything that happens in this time.
    void run(absl::Duration);
    /// Runs until the condition holds.
    /// @return false where it didn't within the time.
    bool runUntil(const std::function<bool()>& condition, absl::Duration atMost = absl::Seconds(20));
    /// @return the host that leads, or size().
    size_t leader() const;
    bool hasLeader() const { return leader() < size(); }
    /// @return whether a host leads, all are up, and no change of members is awaited.
    bool isWhole() const;

    /// @param surviving so many of the batches that weren't synced are on the disk nevertheless.
    void crash(size_t host, size_t surviving = 0);
    void restart(size_t host);
    void loseDisk(size_t host);
    void freeze(size_t host);
    void resume(size_t host);
    void cut(const std::set<size_t>& side);
    void heal();
    void setFaults(NetworkFaults faults) { faults_ = faults; }
    void setSyncTime(size_t host, absl::Duration time);
    void failDisk(size_t host);
    void repairAll();

private:
    struct Host;
    struct InFlight {
        size_t from;
        size_t to;
        LogMessage message;
    };

    void start(Host&);
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
    uint64_t messagesSent_ = 0;
};

} // namespace trefoilwing
