#pragma once

#include "Adapters/Clock/SeededRandom.h"
#include "Adapters/Http/HttpMinionLink.h"
#include "Daemon/DeclarationStore.h"
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

/// The ports that EntryRole uses.
struct EntryPorts {
    const Clock& clock;
    const DeclarationStore& declarations;
    const DaemonDirectory& directory;
    Ledger& ledger;
    PeerLink& peers;
    Metrics& metrics;
};

/// Serves callers and minions. It owns the table of submissions, the shards that dispatch jobs, the shards that assign
/// slots (brokers), and the HTTP link to minions.
class EntryRole : public MinionEvents, public JobRunner {
public:
    EntryRole(EntryPorts, HttpMinionLinkOptions);
    ~EntryRole() override;

    SubmissionCoordinator& submissions() { return submissions_; }

    /// Applies the current declarations and broker locations. Call this after either changed.
    /// @param removed services that are no longer declared.
    void refreshServices(const std::vector<ServiceId>& removed);

    void minionAnnounced(const MinionAnnouncement&);
    void minionRemoved(const ServiceId&, const MinionId&);
    void daemonPresumedDead(const DaemonRun&);
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

    /// @return the queue lengths of each service and backer.
    std::vector<QueueStatus> queues() const;

    /// Stops the threads. Jobs that still run are dropped without an outcome.
    void stop();

private:
    static constexpr size_t shardCount = 4;

    size_t shardIndex(const ServiceId&) const;
    DispatchShard& shardOf(const ServiceId& service) { return *dispatch_[shardIndex(service)]; }
    BrokerShard& brokerShardOf(const ServiceId& service) { return *brokers_[shardIndex(service)]; }
    std::unique_ptr<SlotBroker> makeBroker(size_t shard);

    EntryPorts ports_;
    /// Serialises refreshServices(), which two threads call, so that the newest state is applied last. Lock order: before
    /// the lock of any shard.
    absl::Mutex refreshMutex_;
    SubmissionCoordinator submissions_;
    HttpMinionLink minions_;
    /// One random generator for each broker shard, so that the shard's lock protects it.
    std::vector<std::unique_ptr<SeededRandom>> randoms_;
    std::vector<std::unique_ptr<DispatchShard>> dispatch_;
    std::vector<std::unique_ptr<BrokerShard>> brokers_;
    std::vector<std::unique_ptr<PumpThread>> pumps_;
};

} // namespace trefoilwing
