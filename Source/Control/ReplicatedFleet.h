#pragma once

#include "Control/FleetState.h"
#include "Control/ReplicatedGroup.h"

#include <functional>
#include <vector>

namespace trefoilwing {

/// One member of the keepers' group: the fleet's replicated, durable state with the operations on it.
class ReplicatedFleet final : public ReplicatedGroup {
public:
    using PublishCallback = std::function<void(Result<RoutingVersion>)>;
    /// Receives whether the order is in force, or an error.
    using EvacuationCallback = std::function<void(Result<Done>)>;
    using ReadCallback = std::function<void(Result<RoutingDocumentPtr>)>;
    /// Called with the whole state after each change, with no lock held.
    using ChangeListener = std::function<void(const FleetState&)>;

    ReplicatedFleet(DaemonRun self, LogSettings, JournalContent, GroupPorts, ChangeListener);

    /// Installs a routing table, unless one of a higher version is in force.
    /// @param done receives the version in force once this table or a higher version is committed; or Unavailable
    /// with MayHaveRun if no majority answers in time.
    void publish(RoutingDocument, PublishCallback done);

    /// Begins or ends the evacuation of a data centre. An order for the state that is in force already succeeds.
    /// @param done receives Done once the order is committed; or Unavailable with MayHaveRun if later orders were committed
    /// meanwhile, or no majority answers in time.
    /// @return the number by which the order can be abandoned.
    EvacuationOrderNumber evacuate(const DataCentreId&, bool isEvacuated, EvacuationCallback done);

    /// Proposes an order no more, as its operator no longer waits for the answer: it may have been sent to another keeper and
    /// been withdrawn there.
    void abandonEvacuation(EvacuationOrderNumber);

    /// Reads the newest routing table (linearizable read).
    /// @param done receives the table, or Unavailable if this member can't be sure that its table is the newest.
    void readNewest(ReadCallback done);

    /// Proposes an owner for a cell. There is no answer; if the grant is committed, state() holds it. A proposal may be lost:
    /// OwnerAssigner makes another one then.
    void grant(GrantRecord);

    /// Proposes to store or remove a minion. There is no answer, and the proposal may be lost: FleetRegistry::takeUnlogged() says
    /// what to propose again.
    void remember(const MinionReport&);
    void forget(const MinionInstance&);

    /// Adds a daemon to those to which this member sends its requests to join.
    void addDaemon(const DaemonId&);

    FleetState state() const;

private:
    struct PendingPublish {
        RoutingDocument document;
        absl::Time deadline;
        PublishCallback done;
    };
    struct PendingEvacuation {
        EvacuationRecord record;
        absl::Time deadline;
        EvacuationCallback done;
        /// Whether the order was proposed anew, after another record had changed the revision that it named.
        bool isRepeated = false;
    };
    struct PendingRead {
        BarrierRecord barrier;
        absl::Time deadline;
        ReadCallback done;
    };

    void applyEntry(const LogEntry&) override ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void restoreState(const Snapshot&) override ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    std::vector<SnapshotChunk> snapshotState() const override ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void retryPending(absl::Time now) override ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void failPending(const Error&) override ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void answerPublishes() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void answerReads(const BarrierRecord&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void answerEvacuation(const EvacuationRecord&, bool isApplied) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void proposeNow(Command) ABSL_LOCKS_EXCLUDED(mutex_);
    void notifyListener() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    const DaemonRun run_;
    ChangeListener listener_;
    FleetState state_ ABSL_GUARDED_BY(mutex_);
    std::vector<PendingPublish> publishes_ ABSL_GUARDED_BY(mutex_);
    /// The document that was last read, as long as a reader holds it.
    std::weak_ptr<const RoutingDocument> lastRead_ ABSL_GUARDED_BY(mutex_);
    std::vector<PendingRead> reads_ ABSL_GUARDED_BY(mutex_);
    std::vector<PendingEvacuation> evacuations_ ABSL_GUARDED_BY(mutex_);
    uint64_t evacuationOrders_ ABSL_GUARDED_BY(mutex_) = 0;
    uint64_t barriers_ ABSL_GUARDED_BY(mutex_) = 0;
    bool isNotificationQueued_ ABSL_GUARDED_BY(mutex_) = false;
};

} // namespace trefoilwing
