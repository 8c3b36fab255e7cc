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
    using ReadCallback = std::function<void(Result<RoutingDocument>)>;
    /// Called with the whole state after each change, with no lock held.
    using ChangeListener = std::function<void(const FleetState&)>;

    ReplicatedFleet(DaemonRun self, LogSettings, JournalContent, GroupPorts, ChangeListener);

    /// Installs a routing table, unless one of a higher version is in force.
    /// @param done receives the version in force once this table or a higher version is committed; or Unavailable
    /// with MayHaveRun if no majority answers in time.
    void publish(RoutingDocument, PublishCallback done);

    /// Reads the newest routing table (linearizable read).
    /// @param done receives the table, or Unavailable if this member can't be sure that its table is the newest.
    void readNewest(ReadCallback done);

    /// Proposes an owner for a cell. There is no answer; if the grant is committed, state() holds it.
    void grant(GrantRecord);

    /// Stores or removes a minion. This is best effort and needs a majority; minions report again anyway.
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
    void proposeNow(Command) ABSL_LOCKS_EXCLUDED(mutex_);
    void notifyListener() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    const DaemonRun run_;
    ChangeListener listener_;
    FleetState state_ ABSL_GUARDED_BY(mutex_);
    std::vector<PendingPublish> publishes_ ABSL_GUARDED_BY(mutex_);
    std::vector<PendingRead> reads_ ABSL_GUARDED_BY(mutex_);
    uint64_t barriers_ ABSL_GUARDED_BY(mutex_) = 0;
    bool isNotificationQueued_ ABSL_GUARDED_BY(mutex_) = false;
};

} // namespace trefoilwing
