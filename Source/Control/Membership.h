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

/// How often heartbeats are sent and how long silence is borne.
struct HeartbeatTiming {
    absl::Duration interval;
    /// Silence after which a daemon is suspected; it keeps its duties.
    absl::Duration suspectAfter;
    /// Silence after which a daemon is taken for gone.
    absl::Duration goneAfter;
};

struct MembershipOptions {
    /// Between daemons of one data centre.
    HeartbeatTiming near { absl::Milliseconds(500), absl::Milliseconds(1600), absl::Milliseconds(3100) };
    /// Between data centres.
    HeartbeatTiming far { absl::Seconds(3), absl::Seconds(10), absl::Seconds(13) };
    /// A daemon that wasn't driven for longer than this was frozen.
    absl::Duration frozenAfter = absl::Seconds(2);
};

enum class MemberState {
    /// Nothing was heard of it yet.
    Unknown,
    Alive,
    Suspect,
    Gone,
    /// It said that it ends.
    Left,
};

/// A daemon's run was heard for the first time, or again after it was taken for gone.
struct MemberJoined {
    DaemonRun run;
    /// Whether it is in this daemon's data centre.
    bool isNear = false;

    friend bool operator==(const MemberJoined&, const MemberJoined&) = default;
};

/// A daemon's run ended, or was silent for too long.
struct MemberGone {
    DaemonRun run;
    bool isNear = false;

    friend bool operator==(const MemberGone&, const MemberGone&) = default;
};

/// This daemon may have missed anything; it must not act on what it knew.
struct SelfStale {
    friend bool operator==(const SelfStale&, const SelfStale&) = default;
};

/// This daemon knows again who is there, and they know it.
struct SelfFresh {
    friend bool operator==(const SelfFresh&, const SelfFresh&) = default;
};

using MembershipEvent = std::variant<MemberJoined, MemberGone, SelfStale, SelfFresh>;

/// What a Membership wants done.
struct MembershipOutbox {
    std::vector<Envelope> messages;
    std::vector<MembershipEvent> events;
};

/// Decides which daemons of the settings are alive, from their heartbeats.
///
/// A decision object. Its times must come from a clock that never steps. A daemon is stale from its
/// start, and after it was frozen, until every daemon of its data centre that may be alive has
/// answered a heartbeat sent since then, or was silent for long enough to be taken for gone.
class Membership {
public:
    Membership(const DaemonSettings&, Incarnation, absl::Time now, MembershipOptions = {});

    void heartbeatReceived(const DaemonId& from, const Heartbeat&, absl::Time now);

    /// Takes the version of the configuration that heartbeats tell from now on.
    void setConfiguration(ConfigurationVersion version) { configuration_ = version; }

    /// Does what is due: sends heartbeats, and judges silence.
    void tick(absl::Time now);

    /// @return when tick() is next due.
    absl::Time nextWakeup() const;

    /// Tells all that this daemon takes nothing new.
    void drain(absl::Time now);

    /// Tells all that this daemon ends. No more heartbeats follow.
    void leave(absl::Time now);

    /// @return what is to be done since the last call.
    MembershipOutbox takeOutbox();

    /// @return whether this daemon may act on what it knows of the others.
    bool isFresh() const { return isFresh_; }

    /// @return a number that changes whenever brokerFor() may give other results.
    uint64_t brokersVersion() const { return brokersVersion_; }

    MemberState stateOf(const DaemonId&) const;

    /// @return the run of a daemon that is alive or suspected.
    std::optional<DaemonRun> runOf(const DaemonId&) const;

    /// @return the runs of a data centre's entries that are alive or suspected, this daemon included.
    std::vector<DaemonRun> aliveEntries(const DataCentreId&) const;

    /// @return the entry of this data centre that is the service's slot broker; none if there is no entry.
    std::optional<DaemonRun> brokerFor(const ServiceId&) const;

private:
    struct Peer {
        DataCentreId dataCentre;
        bool isEntry = false;
        bool isNear = false;
        MemberState state = MemberState::Unknown;
        DaemonState declared = DaemonState::Active;
        Incarnation incarnation;
        uint64_t sequence = 0;
        absl::Time lastHeard;
        absl::Time nextBeat;
        /// Whether it answered a heartbeat sent since this daemon became stale.
        bool hasAnswered = false;

        bool isThere() const { return state == MemberState::Alive || state == MemberState::Suspect; }
    };
    using Peers = std::map<DaemonId, Peer>;

    const HeartbeatTiming& timingOf(const Peer&) const;
    void noticeFreeze(absl::Time now);
    void becomeStale(absl::Time now);
    void becomeFreshIfAnswered(absl::Time now);
    void beat(const DaemonId&, Peer&, absl::Time now);
    void beatAll(absl::Time now);
    void judgeSilence(const DaemonId&, Peer&, absl::Time now);
    void end(const DaemonId&, Peer&, MemberState);
    std::vector<DaemonRun> entriesThat(const DataCentreId&, bool mayDrain) const;

    const DaemonRun self_;
    const DataCentreId dataCentre_;
    const bool isEntry_;
    const MembershipOptions options_;
    Peers peers_;
    DaemonState state_ = DaemonState::Active;
    ConfigurationVersion configuration_;
    uint64_t sequence_ = 0;
    absl::Time lastDriven_;
    bool isFresh_ = false;
    absl::Time staleSince_;
    /// Answers to heartbeats up to this one don't show freshness.
    uint64_t staleSequence_ = 0;
    uint64_t brokersVersion_ = 0;
    MembershipOutbox outbox_;
};

} // namespace trefoilwing
