#pragma once

#include "Control/Envelope.h"
#include "Model/MembershipMessages.h"
#include "Model/Settings.h"

#include <absl/time/time.h>

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace trefoilwing {

/// The heartbeat interval and the timeouts for missing heartbeats.
struct HeartbeatTiming {
    absl::Duration interval;
    /// Time without a heartbeat after which a daemon is suspected of having failed; it keeps its roles.
    absl::Duration suspectAfter;
    /// Time without a heartbeat after which a daemon is presumed dead.
    absl::Duration presumedDeadAfter;
};

struct MembershipOptions {
    /// Between daemons of one data centre.
    HeartbeatTiming near { absl::Milliseconds(500), absl::Milliseconds(1600), absl::Milliseconds(3100) };
    /// Between data centres.
    HeartbeatTiming far { absl::Seconds(3), absl::Seconds(10), absl::Seconds(13) };
    /// If this object isn't called for longer than this, its own process is assumed to have been frozen.
    absl::Duration freezeThreshold = absl::Seconds(2);
};

enum class MemberState {
    /// No heartbeat has arrived yet.
    Unknown,
    Alive,
    Suspect,
    PresumedDead,
    /// It announced that its process ends.
    Left,
};

/// The first heartbeat of a daemon's run arrived, or the first after the run was presumed dead.
struct MemberJoined {
    DaemonRun run;
    /// Whether it is in this daemon's data centre.
    bool isNear = false;

    friend bool operator==(const MemberJoined&, const MemberJoined&) = default;
};

/// A daemon's run ended, or is presumed dead.
struct MemberRemoved {
    DaemonRun run;
    bool isNear = false;

    friend bool operator==(const MemberRemoved&, const MemberRemoved&) = default;
};

/// This daemon may have missed changes, and must not act on its earlier view of the other daemons.
struct SelfStale {
    friend bool operator==(const SelfStale&, const SelfStale&) = default;
};

/// This daemon's view of the other daemons is up to date again, and so is theirs of this one.
struct SelfFresh {
    friend bool operator==(const SelfFresh&, const SelfFresh&) = default;
};

using MembershipEvent = std::variant<MemberJoined, MemberRemoved, SelfStale, SelfFresh>;

/// The messages to send and the events to handle for a Membership.
struct MembershipOutbox {
    std::vector<Envelope> messages;
    std::vector<MembershipEvent> events;
};

/// A failure detector: decides from heartbeats which of the daemons named in the settings are alive.
///
/// It does no I/O. All times passed in must come from a monotonic clock. This daemon counts as stale
/// from its start, and again after a freeze, until every daemon of its data centre that may be alive
/// has answered a heartbeat sent since then, or has been silent for long enough to be presumed dead.
class Membership {
public:
    Membership(const DaemonSettings&, Incarnation, absl::Time now, MembershipOptions = {});

    void heartbeatReceived(const DaemonId& from, const Heartbeat&, absl::Time now);

    /// Sets the configuration version that heartbeats report from now on.
    void setConfiguration(ConfigurationVersion version) { configuration_ = version; }

    /// Sends the heartbeats that are due and checks the timeouts.
    void tick(absl::Time now);

    /// @return when tick() is next due.
    absl::Time nextWakeup() const;

    /// Announces to all daemons that this one takes no new work.
    void drain(absl::Time now);

    /// Announces to all daemons that this one ends. No more heartbeats follow.
    void leave(absl::Time now);

    /// @return the messages and events that were added since the last call.
    MembershipOutbox takeOutbox();

    /// @return whether this daemon may act on its view of the other daemons.
    bool isFresh() const { return isFresh_; }

    /// @return a number that changes whenever brokerFor() may give other results.
    uint64_t brokersVersion() const { return brokersVersion_; }

    MemberState stateOf(const DaemonId&) const;

    /// @return the run of a daemon that is alive or suspected.
    std::optional<DaemonRun> runOf(const DaemonId&) const;

    /// @return the runs of a data centre's entries that are alive or suspected, including this daemon's own.
    std::vector<DaemonRun> aliveEntries(const DataCentreId&) const;

    /// @return the entry of this data centre that is the service's slot broker; nothing if there is no entry.
    std::optional<DaemonRun> brokerFor(const ServiceId&) const;

private:
    struct Peer {
        DataCentreId dataCentre;
        bool isEntry = false;
        bool isNear = false;
        MemberState state = MemberState::Unknown;
        DaemonState reportedState = DaemonState::Active;
        Incarnation incarnation;
        uint64_t sequence = 0;
        absl::Time lastHeartbeatAt;
        absl::Time nextHeartbeat;
        /// Whether it answered a heartbeat sent since this daemon became stale.
        bool hasAnswered = false;

        bool isPresumedAlive() const { return state == MemberState::Alive || state == MemberState::Suspect; }
    };
    using Peers = std::map<DaemonId, Peer>;

    const HeartbeatTiming& timingOf(const Peer&) const;
    void detectFreeze(absl::Time now);
    void becomeStale(absl::Time now);
    void becomeFreshIfAnswered(absl::Time now);
    void sendHeartbeat(const DaemonId&, Peer&, absl::Time now);
    void sendHeartbeats(absl::Time now);
    void checkTimeout(const DaemonId&, Peer&, absl::Time now);
    void markEnded(const DaemonId&, Peer&, MemberState);
    std::vector<DaemonRun> findEntries(const DataCentreId&, bool mayDrain) const;

    const DaemonRun self_;
    const DataCentreId dataCentre_;
    const bool isEntry_;
    const MembershipOptions options_;
    Peers peers_;
    DaemonState state_ = DaemonState::Active;
    ConfigurationVersion configuration_;
    uint64_t sequence_ = 0;
    absl::Time lastCallAt_;
    bool isFresh_ = false;
    absl::Time staleSince_;
    /// Heartbeats up to this sequence were sent before this daemon became stale, so answers to them don't count.
    uint64_t staleSequence_ = 0;
    uint64_t brokersVersion_ = 0;
    MembershipOutbox outbox_;
};

} // namespace trefoilwing
