#pragma once

#include "Model/Identifiers.h"
#include "Model/MinionMessages.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace trefoilwing {

enum class DaemonState {
    Active,
    /// Finishes its work and accepts no new work.
    Draining,
    /// Its process is exiting.
    Left,
};

/// A daemon's periodic message that it is alive.
struct Heartbeat {
    Incarnation incarnation;
    /// Sequence number of the heartbeats of this incarnation, so that an older one that arrives late is ignored.
    uint64_t sequence = 0;
    /// The highest sequence number that the sender has received from the receiver; 0 if none.
    uint64_t echo = 0;
    DaemonState state = DaemonState::Active;
    /// The version of the configuration that is in force at the sender.
    ConfigurationVersion configuration {};

    friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

/// Hash of the content of a minion's announcement, without its sequence number and busy slots.
using AnnouncementKey = StrongId<struct AnnouncementKeyTag, uint64_t>;

/// Identifies a roster: an entry's numbering of the announcement keys that it has received.
using RosterId = StrongId<struct RosterTag, uint32_t>;

/// Part of the roster that an entry's lease renewals refer to.
struct RosterPart {
    RosterId roster;
    /// The roster number of the first key; the other keys follow.
    uint32_t first = 0;
    std::vector<AnnouncementKey> keys;

    friend bool operator==(const RosterPart&, const RosterPart&) = default;
};

/// Asks for the part of a roster from a number on.
struct RosterQuery {
    RosterId roster;
    uint32_t first = 0;

    friend bool operator==(const RosterQuery&, const RosterQuery&) = default;
};

/// Renews the leases of the minions that have announced themselves to the sender since its last renewal message.
struct MinionLeaseRenewal {
    RosterId roster;
    /// Size of the roster, so that the receiver detects missing parts.
    uint32_t size = 0;
    /// The renewed roster numbers in ascending order, each encoded as the count of numbers skipped before it.
    std::vector<uint32_t> gaps;

    friend bool operator==(const MinionLeaseRenewal&, const MinionLeaseRenewal&) = default;
};

/// Asks for announcements whose leases the receiver has renewed and that the sender doesn't know.
struct MinionQuery {
    std::vector<AnnouncementKey> keys;

    friend bool operator==(const MinionQuery&, const MinionQuery&) = default;
};

/// Sends announcements that are new, changed or requested.
struct MinionDelta {
    std::vector<MinionAnnouncement> announcements;

    friend bool operator==(const MinionDelta&, const MinionDelta&) = default;
};

/// The messages that Membership and MinionRegistry send and receive.
using MembershipMessage = std::variant<Heartbeat, RosterPart, RosterQuery, MinionLeaseRenewal, MinionQuery, MinionDelta>;

} // namespace trefoilwing
