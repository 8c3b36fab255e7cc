#pragma once

#include "Control/FleetState.h"
#include "Control/ReplicatedGroup.h"

#include <functional>
#include <vector>

namespace trefoilwing {

/// The fleet's durable state as a member of its group sees it.
class ReplicatedFleet final : public ReplicatedGroup {
public:
    using PublishCallback = std::function<void(Result<RoutingVersion>)>;
    using ReadCallback = std::function<void(Result<RoutingDocument>)>;
    /// Called with the whole state after each change, with no lock held.
    using ChangeListener = std::function<void(const FleetState&)>;

    ReplicatedFleet(DaemonRun self, LogSettings, JournalContent, GroupPorts, ChangeListener);

    /// Puts a routing table in force, unless a higher version is.
    /// @param done gets the version in force once the table, or a higher one, is kept; or Unavailable with
    /// MayHaveRun where no majority answers in time.
    void publish(RoutingDocument, PublishCallback done);

    /// Reads the newest routing table.
    /// @param done gets it, or Unavailable where this member can't be sure.
    void readNewest(ReadCallback done);

    /// Proposes an owner for a cell; the outcome shows in the state.
    void grant(GrantRecord);

    /// Remembers a minion or forgets one, as far as a majority is there: the minions report again anyway.
    void remember(const MinionReport&);
    void forget(const MinionInstance&);

    /// Adds a daemon to those that are asked to let this member join.
    void addDaemon(const DaemonId&);

    FleetState state() const;

private:
    struct PendingPublish {
        RoutingDocument document;
        absl::Time givenUpAt;
        PublishCallback done;
    };
    struct PendingRead {
        BarrierRecord barrier;
        absl::Time givenUpAt;
        ReadCallback done;
    };

    void applyEntry(const LogEntry&) override ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void restoreState(const Snapshot&) override ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    std::vector<SnapshotChunk> snapshotState() const override ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void repeatPending(absl::Time now) override ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void failPending(const Error&) override ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void answerPublishes() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void answerReads(const BarrierRecord&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void proposeNow(Command) ABSL_LOCKS_EXCLUDED(mutex_);
    void tellListener() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    const DaemonRun run_;
    ChangeListener listener_;
    FleetState state_ ABSL_GUARDED_BY(mutex_);
    std::vector<PendingPublish> publishes_ ABSL_GUARDED_BY(mutex_);
    std::vector<PendingRead> reads_ ABSL_GUARDED_BY(mutex_);
    uint64_t barriers_ ABSL_GUARDED_BY(mutex_) = 0;
    bool willTell_ ABSL_GUARDED_BY(mutex_) = false;
};

} // namespace trefoilwing
