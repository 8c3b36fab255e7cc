#pragma once

#include "Model/Identifiers.h"
#include "Model/MinionMessages.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace trefoilwing {

enum class DaemonState {
    Active,
    /// Finishes what it has and takes nothing new.
    Draining,
    /// Its process ends now.
    Left,
};

/// Says that the sender's run is alive.
struct Heartbeat {
    Incarnation incarnation;
    /// Numbers the heartbeats of this run, so that an older one that comes late changes nothing.
    uint64_t sequence = 0;
    /// The highest sequence that the sender has received from the receiver; 0 where none came yet.
    uint64_t echo = 0;
    DaemonState state = DaemonState::Active;
    /// The version of the configuration in force at the sender.
    ConfigurationVersion configuration {};

    friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

/// A minion's announcement by the hash of its content; its sequence and busy slots don't count.
using AnnouncementKey = StrongId<struct AnnouncementKeyTag, uint64_t>;

/// Names one numbering of announcements by one entry.
using RosterId = StrongId<struct RosterTag, uint32_t>;

/// Part of the numbering that an entry uses in its vouches.
struct RosterPart {
    RosterId roster;
    /// The number of the first of the keys.
    uint32_t first = 0;
    std::vector<AnnouncementKey> keys;

    friend bool operator==(const RosterPart&, const RosterPart&) = default;
};

/// Asks for the part of a roster that begins with a number.
struct RosterQuery {
    RosterId roster;
    uint32_t first = 0;

    friend bool operator==(const RosterQuery&, const RosterQuery&) = default;
};

/// Renews the leases of the minions that the sender has heard itself since its last vouch.
struct MinionLeaseRenewal {
    RosterId roster;
    /// How many numbers the roster has, so that the receiver notices what it lacks.
    uint32_t size = 0;
    /// The numbers in rising order, each as the count of numbers left out before it.
    std::vector<uint32_t> gaps;

    friend bool operator==(const MinionLeaseRenewal&, const MinionLeaseRenewal&) = default;
};

/// Asks for announcements that the receiver has vouched for.
struct MinionQuery {
    std::vector<AnnouncementKey> keys;

    friend bool operator==(const MinionQuery&, const MinionQuery&) = default;
};

/// Brings announcements that are new, changed or asked for.
struct MinionDelta {
    std::vector<MinionAnnouncement> announcements;

    friend bool operator==(const MinionDelta&, const MinionDelta&) = default;
};

/// The messages that Membership and MinionRegistry take and send.
using MembershipMessage = std::variant<Heartbeat, RosterPart, RosterQuery, MinionLeaseRenewal, MinionQuery, MinionDelta>;

} // namespace trefoilwing
