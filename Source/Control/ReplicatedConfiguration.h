#pragma once

#include "Control/ConfigurationState.h"
#include "Control/ReplicatedGroup.h"

#include <functional>
#include <vector>

namespace trefoilwing {

/// One member of the configuration group: the replicated configuration with the operations on it.
class ReplicatedConfiguration final : public ReplicatedGroup {
public:
    using PublishCallback = std::function<void(Result<ConfigurationVersion>)>;
    /// Called with the changes since the last call, with no lock held.
    using ChangeListener = std::function<void(const ConfigurationDelta&)>;

    ReplicatedConfiguration(LogSettings, JournalContent, GroupPorts, ChangeListener);

    /// Publishes a change. Publishing the same change again is idempotent and gives the first result.
    /// @param done receives the version; or Conflict, naming the change that was published instead; or Unavailable
    /// with MayHaveRun, in which case the same change may be published again.
    void publish(PublishRecord, PublishCallback done);

private:
    struct PendingPublish {
        PublishRecord record;
        absl::Time deadline;
        PublishCallback done;
    };

    void applyEntry(const LogEntry&) override ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void restoreState(const Snapshot&) override ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    std::vector<SnapshotChunk> snapshotState() const override ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void retryPending(absl::Time now) override ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void failPending(const Error&) override ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void notifyListener(ConfigurationVersion since) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    ChangeListener listener_;
    ConfigurationState state_ ABSL_GUARDED_BY(mutex_);
    std::vector<PendingPublish> pending_ ABSL_GUARDED_BY(mutex_);
};

} // namespace trefoilwing
