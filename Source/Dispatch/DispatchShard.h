#pragma once

#include "Base/MutexLock.h"
#include "Base/WorkSignal.h"
#include "Dispatch/BrokerClient.h"
#include "Dispatch/Pumped.h"
#include "Dispatch/ServiceDispatcher.h"
#include "Model/MinionBatches.h"
#include "Model/OperatorMessages.h"
#include "Ports/Metrics.h"
#include "Ports/MinionLink.h"
#include "Ports/OutcomeSink.h"
#include "Ports/PeerLink.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <optional>
#include <vector>

namespace trefoilwing {

/// The ports that a shard delivers its effects through.
struct DispatchPorts {
    MinionLink& minions;
    PeerLink& peers;
    OutcomeSink& outcomes;
    Metrics& metrics;
};

/// The jobs of a subset of the services, under one lock. The pump delivers their effects in order.
class DispatchShard : public Pumped {
public:
    DispatchShard(DaemonRun self, DispatchPorts);

    /// Sets a service's declaration, and the daemon that hosts its broker.
    void declare(const ServiceDeclaration&, std::optional<DaemonId> broker);
    /// Sets the daemon that hosts a service's broker.
    void setBroker(const ServiceId&, std::optional<DaemonId>);

    void accept(Submission, absl::Time now);
    void cancel(const SubmissionKey&, absl::Time now);
    void decisionsReceived(const DaemonId& from, const BrokerDecisions&, absl::Time now);
    /// Applies a new or renewed announcement. A new incarnation of a minion ends the previous one.
    void minionAnnounced(const MinionAnnouncement&, absl::Time now);
    void minionRemoved(const ServiceId&, const MinionId&, absl::Time now);
    void startsAnswered(const ServiceId&, const MinionId&, const std::vector<StartAnswer>&, absl::Time now);
    void cancelsAnswered(const ServiceId&, const MinionId&, const std::vector<CancelAnswer>&, absl::Time now);
    void resultsPosted(const ServiceId&, const MinionId&, std::vector<TaskResult>&&, absl::Time now);

    /// @return the numbers of jobs and tasks by service and backer.
    std::vector<QueueStatus> queues() const;

    absl::Time pump(absl::Time now) override;
    void waitForWork(absl::Duration longest) override { signal_.wait(longest); }
    void wake() override { signal_.raise(); }

private:
    struct Service {
        ServiceDispatcher dispatcher;
        BrokerClient client;
        absl::flat_hash_map<MinionId, MinionAddress> addresses;
        absl::flat_hash_map<SubmissionKey, JobNumber> jobs;
    };

    /// The effects of one service, taken out under the lock to be delivered without it.
    struct Delivery {
        ServiceId service;
        DispatchEffects effects;
        absl::flat_hash_map<MinionId, MinionAddress> addresses;
        std::optional<DaemonId> broker;
        std::optional<BrokerUpdate> update;
    };

    Service& serviceOf(const ServiceId&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    std::optional<Delivery> takeDelivery(const ServiceId&, Service&, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    static void addUpdate(Service&, Delivery&, absl::Time now);
    void deliver(Delivery&, absl::Time now);
    void deliverStarts(Delivery&, absl::Time now);
    void deliverCancels(Delivery&, absl::Time now);
    void deliverSamples(const std::vector<MetricSample>&);

    DaemonRun self_;
    DispatchPorts ports_;
    mutable absl::Mutex mutex_;
    std::map<ServiceId, std::unique_ptr<Service>> services_ ABSL_GUARDED_BY(mutex_);
    WorkSignal signal_;
};

} // namespace trefoilwing
