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

/// The configuration as every daemon serves by it, whether or not it is a member of the group.
///
/// The version only rises. A daemon that hears of a higher one fetches the changes from whoever has
/// them, and goes on with what it has until they come.
class ConfigurationReplica {
public:
    /// Called after the version rose, with no lock held and versions in order.
    using ChangeListener = std::function<void(std::shared_ptr<const Configuration>)>;

    ConfigurationReplica(PeerLink&, Clock&, ChangeListener);

    std::shared_ptr<const Configuration> current() const;
    ConfigurationVersion version() const;

    /// A daemon has said which version it has; heartbeats carry it.
    void versionHeard(const DaemonId&, ConfigurationVersion);

    /// Answers a daemon that is behind.
    void receive(const DaemonId& from, const ConfigurationQuery&);

    /// Takes in changes, from a peer or from this daemon's member of the group.
    void receive(const ConfigurationDelta&);

    /// Asks again, or another peer, when an answer is overdue.
    void wake();

    /// @return when wake() wants to be called next.
    absl::Time nextWakeup() const;

private:
    struct Query {
        DaemonId to;
        ConfigurationVersion since;
    };

    std::optional<Query> nextQuery(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    bool isBehind() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void ask(const std::optional<Query>&);
    void tellListener();

    PeerLink& peers_;
    Clock& clock_;
    ChangeListener listener_;
    mutable absl::Mutex mutex_;
    ConfigurationState state_ ABSL_GUARDED_BY(mutex_);
    std::shared_ptr<const Configuration> current_ ABSL_GUARDED_BY(mutex_);
    ConfigurationVersion told_ ABSL_GUARDED_BY(mutex_);
    /// Whether a thread tells the listener; it tells what others bring too, so that versions stay in order.
    bool isTelling_ ABSL_GUARDED_BY(mutex_) = false;
    std::map<DaemonId, ConfigurationVersion> heard_ ABSL_GUARDED_BY(mutex_);
    DaemonId lastAsked_ ABSL_GUARDED_BY(mutex_);
    absl::Time askDue_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
};

} // namespace trefoilwing
