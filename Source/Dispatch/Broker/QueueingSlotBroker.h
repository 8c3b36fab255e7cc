#pragma once

#include "Base/Error.h"
#include "Dispatch/Broker/Admission.h"
#include "Dispatch/Broker/BrokerPolicy.h"
#include "Dispatch/Broker/DemandQueue.h"
#include "Dispatch/Broker/Ejection.h"
#include "Dispatch/Broker/MinionChoice.h"
#include "Dispatch/Broker/SlotReserve.h"
#include "Dispatch/Broker/SlotTable.h"
#include "Dispatch/SlotBroker.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <memory>
#include <vector>

namespace trefoilwing {

/// A slot broker that queues the jobs of all entries and grants free slots in the queue's order.
///
/// The policy names the strategies that decide on order, admission, choice of minions and ejection.
class QueueingSlotBroker : public SlotBroker {
public:
    /// @param random outlives the broker.
    /// @return the broker, or an error that names the unknown strategy.
    static Result<std::unique_ptr<QueueingSlotBroker>> create(const BrokerPolicy&, Random& random);

    ~QueueingSlotBroker() override;

    void declare(const ServiceDeclaration&) override;
    void minionAnnounced(const MinionAnnouncement&, absl::Time now) override;
    void minionRemoved(const MinionId&, absl::Time now) override;
    void entryUpdated(const BrokerUpdate&, absl::Time now) override;
    void entryRemoved(const DaemonRun&, absl::Time now) override;
    std::vector<EntryDecisions> decide(absl::Time now) override;
    absl::Time nextWakeup() const override;

private:
    struct Strategies {
        std::unique_ptr<broker::JobOrder> jobOrder;
        std::unique_ptr<broker::BackerOrder> backerOrder;
        std::unique_ptr<broker::MinionChoice> minionChoice;
        std::unique_ptr<broker::Admission> admission;
        std::unique_ptr<broker::SlotReserve> reserve;
        std::unique_ptr<broker::Ejection> ejection;
    };

    /// The broker's state for one incarnation of one entry.
    struct Entry {
        DaemonRun run;
        uint64_t stream = 0;
        /// Sequence number of the last accepted update; 0 while the entry's state isn't known.
        uint64_t sequence = 0;
        /// Sequence number of the last decisions sent in the stream.
        uint64_t decided = 0;
        /// Sequence number of the last decisions that the entry has confirmed.
        uint64_t received = 0;
        absl::flat_hash_map<MinionId, uint32_t> held;
        absl::flat_hash_map<broker::TaskKind*, uint32_t> heldByKind;
        absl::flat_hash_map<JobNumber, broker::JobPtr> jobs;
        EntryDecisions pending;
        bool hasPending = false;
    };

    QueueingSlotBroker(Strategies, Random&);

    Entry* entryFor(const DaemonRun&, absl::Time now);
    bool isInOrder(Entry&, const BrokerUpdate&);
    void applyFullState(Entry&, const BrokerUpdate&);
    void applyDemand(Entry&, const Demand&);
    void applyReport(Entry&, const SlotReport&, absl::Time now);
    using EndingHandler = void (QueueingSlotBroker::*)(broker::Minion&, const SlotReport&);
    /// Indexed by SlotEnding.
    static const EndingHandler endingHandlers[];

    void onSucceeded(broker::Minion&, const SlotReport&);
    void onRefusedBusy(broker::Minion&, const SlotReport&);
    void onRefusedLeaving(broker::Minion&, const SlotReport&);
    void onSlotFree(broker::Minion&, const SlotReport&);
    void learn(broker::Minion&, const SlotReport&);
    void dropDemands(Entry&);
    void clearDemand(broker::Job&);
    void dropIfIdle(Entry&, broker::Job&);
    void handleDueJobs(absl::Time now);
    void handleDueJob(broker::Job&, absl::Time now);
    void reject(broker::Job&, Error);
    void rejectImpossible(absl::Time now);
    static bool isRunnable(const broker::Job&);
    static uint32_t waitingTasks(const Entry&, const broker::Job&, const broker::TaskKind&, uint32_t requested);
    static void recordSentGrant(const Entry&, broker::Job&, broker::TaskKind&);
    void enqueue(broker::Job&, const std::vector<broker::WaitingTasks>&);
    void classify(broker::TaskKind&);
    void moveToPoolQueue(broker::TaskKind&);
    void releaseKind(Entry&, const TaskKindId&);
    bool mayUseSlots(const broker::PoolQueue&) const;
    void changeWaiting(const broker::Job&, int32_t sign);
    void changeStartedWaiting(const broker::Job&, int32_t sign);
    broker::LoadView loadView() const;
    void schedule(broker::Job&, absl::Time due);
    void unschedule(broker::Job&);
    broker::QueuedDemand* firstServable();
    void grantFirst(broker::QueuedDemand&, absl::Time now);
    broker::Choice chooseFor(broker::QueuedDemand&, absl::Time now);
    void defer(broker::QueuedDemand&);
    void grant(broker::QueuedDemand&, broker::WaitingTasks&, broker::Minion&);
    void changeUse(broker::Backer&, int32_t slots);
    void updateAverageUse(broker::Backer&) const;
    void refreshAverages();
    void updateShares();
    broker::TaskKind& kindFor(const TaskKindId&);
    broker::Backer& backerFor(const BackerId&);
    broker::PoolQueue& poolQueueFor(const broker::TaskKind&);
    EntryDecisions& pendingOf(Entry&);

    Strategies strategies_;
    Random& random_;
    broker::SlotTable slots_;
    broker::DemandQueue queue_;
    /// The pool queues, by pool and by whether they hold long tasks.
    std::map<std::pair<broker::MinionPool*, bool>, broker::PoolQueue> poolQueues_;
    absl::flat_hash_map<TaskKindId, std::unique_ptr<broker::TaskKind>> kinds_;
    absl::flat_hash_map<BackerId, std::unique_ptr<broker::Backer>> backers_;
    std::map<DaemonRun, Entry> entries_;
    /// Waiting jobs by the time at which they are rejected or become urgent.
    boost::intrusive::set<broker::Job, boost::intrusive::compare<broker::EarlierDue>> scheduled_;
    /// Demands that stay waiting in this round of decisions although slots are free.
    std::vector<broker::QueuedDemand*> deferred_;
    /// Number of waiting tasks of the deferred demands.
    uint32_t deferredTasks_ = 0;
    /// Earliest time at which a demand stops waiting for a faster minion.
    absl::Time nextWaitEnd_ = absl::InfiniteFuture();
    /// Mean run time of all tasks at a minion of average speed.
    absl::Duration meanRunTime_ = absl::ZeroDuration();
    uint64_t arrivals_ = 0;
    /// Number of slots that long tasks use, and the maximum.
    uint32_t longSlotsInUse_ = 0;
    uint32_t maxLongSlots_ = 0;
    /// The time of the latest event.
    absl::Time now_ = absl::InfinitePast();
    absl::Time averagesRefreshed_ = absl::InfinitePast();
    /// When jobs that no minion can run are next rejected.
    absl::Time nextImpossibleCheck_ = absl::InfiniteFuture();
    bool hasNewEvents_ = false;
};

} // namespace trefoilwing
