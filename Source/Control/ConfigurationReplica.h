#pragma once

#include "Base/MutexLock.h"
#include "Control/ConfigurationState.h"
#include "Model/LogMessages.h"
#include "Ports/Clock.h"
#include "Ports/PeerLink.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace trefoilwing {

/// A daemon's local copy of the configuration, kept by members and non-members of the configuration group alike.
///
/// The version never decreases. When a peer reports a higher version, the daemon fetches the changes
/// from that peer, and continues to use its current version until they arrive.
class ConfigurationReplica {
public:
    /// Called after the version increased, with no lock held and in version order.
    using ChangeListener = std::function<void(std::shared_ptr<const Configuration>)>;

    ConfigurationReplica(PeerLink&, Clock&, ChangeListener);

    std::shared_ptr<const Configuration> current() const;
    ConfigurationVersion version() const;

    /// Records the version that a peer reported in its heartbeat.
    void versionReceived(const DaemonId&, ConfigurationVersion);

    /// Sends the missing changes to a daemon that is behind.
    void receive(const DaemonId& from, const ConfigurationQuery&);

    /// Applies changes from a peer or from this daemon's own member of the group.
    void receive(const ConfigurationDelta&);

    /// Repeats the query, to another peer if there is one, when the answer is overdue.
    void wake();

    /// @return when wake() has to be called next.
    absl::Time nextWakeup() const;

private:
    struct Query {
        DaemonId to;
        ConfigurationVersion since;
    };

    std::optional<Query> nextQuery(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    bool isBehind() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void sendQuery(const std::optional<Query>&);
    void notifyListener();

    PeerLink& peers_;
    Clock& clock_;
    ChangeListener listener_;
    mutable absl::Mutex mutex_;
    ConfigurationState state_ ABSL_GUARDED_BY(mutex_);
    std::shared_ptr<const Configuration> current_ ABSL_GUARDED_BY(mutex_);
    ConfigurationVersion notifiedVersion_ ABSL_GUARDED_BY(mutex_);
    /// Whether a thread is calling the listener. That thread also delivers the versions that other threads
    /// add meanwhile, so that the listener sees versions in order.
    bool isNotifying_ ABSL_GUARDED_BY(mutex_) = false;
    std::map<DaemonId, ConfigurationVersion> peerVersions_ ABSL_GUARDED_BY(mutex_);
    DaemonId lastQueried_ ABSL_GUARDED_BY(mutex_);
    absl::Time queryDue_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
};

} // namespace trefoilwing
