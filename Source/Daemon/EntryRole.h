#pragma once

#include "Adapters/Clock/SeededRandom.h"
#include "Adapters/Http/HttpMinionLink.h"
#include "Daemon/DeclarationBoard.h"
#include "Daemon/PumpThread.h"
#include "Dispatch/BrokerShard.h"
#include "Dispatch/DispatchShard.h"
#include "Dispatch/SubmissionCoordinator.h"
#include "Model/OperatorMessages.h"
#include "Ports/MinionLink.h"

#include <array>
#include <memory>
#include <vector>

namespace trefoilwing {

/// The ports that an entry is composed with.
struct EntryPorts {
    const Clock& clock;
    const DeclarationBoard& declarations;
    const DaemonDirectory& directory;
    Ledger& ledger;
    PeerLink& peers;
    Metrics& metrics;
};

/// Serves callers and minions: the desk, the shards of jobs and of brokers, and the link to minions.
class EntryRole : public MinionEvents, public JobRunner {
public:
    EntryRole(EntryPorts, HttpMinionLinkOptions);
    ~EntryRole() override;

    SubmissionCoordinator& desk() { return desk_; }

    /// Takes the declarations and the brokers' places anew, after either changed.
    void refreshServices(const std::vector<ServiceId>& removed);

    void minionAnnounced(const MinionAnnouncement&);
    void minionRemoved(const ServiceId&, const MinionId&);
    void daemonGone(const DaemonRun&);
    void resultsPosted(ResultBatch);

    void receive(const DaemonId& from, const BrokerUpdate&);
    void receive(const DaemonId& from, const BrokerDecisions&);
    void receive(const DaemonId& from, const ForwardedSubmission&);
    void receive(const DaemonId& from, const OutcomeQuery&);
    void receive(const DaemonId& from, const ForwardReply&);

    void run(Submission) override;
    void cancel(const SubmissionKey&) override;

    void startsAnswered(const ServiceId&, const MinionId&, const std::vector<StartAnswer>&) override;
    void cancelsAnswered(const ServiceId&, const MinionId&, const std::vector<CancelAnswer>&) override;

    /// @return the jobs and tasks of each service and backer.
    std::vector<QueueStatus> queues() const;

    /// Ends the threads. Jobs that still run are given up without an outcome.
    void stop();

private:
    static constexpr size_t shardCount = 4;

    size_t shardIndex(const ServiceId&) const;
    DispatchShard& shardOf(const ServiceId& service) { return *dispatch_[shardIndex(service)]; }
    BrokerShard& brokerShardOf(const ServiceId& service) { return *brokers_[shardIndex(service)]; }
    std::unique_ptr<SlotBroker> makeBroker(size_t shard);

    EntryPorts ports_;
    /// Serialises refreshes, which come from two threads, so that the newest view is set last. Taken before a shard's lock.
    absl::Mutex refreshMutex_;
    SubmissionCoordinator desk_;
    HttpMinionLink minions_;
    /// Each broker shard draws from its own source, so that draws need no lock of their own.
    std::vector<std::unique_ptr<SeededRandom>> randoms_;
    std::vector<std::unique_ptr<DispatchShard>> dispatch_;
    std::vector<std::unique_ptr<BrokerShard>> brokers_;
    std::vector<std::unique_ptr<PumpThread>> pumps_;
};

} // namespace trefoilwing
