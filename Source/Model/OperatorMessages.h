#pragma once

#include "Model/Identifiers.h"
#include "Model/Units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace trefoilwing {

/// One member of a replicated log's group, as its daemons see it.
struct MemberStatus {
    DaemonId daemon;
    bool isVoter = false;
    bool hasDisk = false;

    friend bool operator==(const MemberStatus&, const MemberStatus&) = default;
};

/// A replicated log in which a daemon takes part.
struct GroupStatus {
    GroupId group;
    /// What the daemon is in the group, e.g. "leader" or "follower".
    std::string role;
    Term term;
    /// Empty where no leader is known.
    DaemonId leader;
    LogIndex committed;
    std::vector<MemberStatus> members;

    friend bool operator==(const GroupStatus&, const GroupStatus&) = default;
};

/// The minions of one service that a daemon knows, by state.
struct MinionCounts {
    ServiceId service;
    uint32_t serving = 0;
    uint32_t leaving = 0;
    uint32_t ejected = 0;
    SlotCount slots;
    SlotCount busySlots;

    friend bool operator==(const MinionCounts&, const MinionCounts&) = default;
};

/// The jobs of one backer that a daemon owns.
struct QueueStatus {
    ServiceId service;
    BackerId backer;
    uint32_t jobs = 0;
    uint32_t waitingTasks = 0;
    uint32_t runningTasks = 0;

    friend bool operator==(const QueueStatus&, const QueueStatus&) = default;
};

/// Another daemon, as this one sees it.
struct PeerStatus {
    DaemonId daemon;
    bool isReachable = false;

    friend bool operator==(const PeerStatus&, const PeerStatus&) = default;
};

/// What a daemon tells operators about itself.
struct DaemonStatus {
    DaemonId daemon;
    Incarnation incarnation;
    DataCentreId dataCentre;
    bool isEntry = false;
    bool isKeeper = false;
    /// Takes no new work.
    bool isDraining = false;
    /// Draining, and the last work has ended: the process may be stopped.
    bool isDrained = false;
    ConfigurationVersion configuration;
    std::vector<GroupStatus> groups;
    std::vector<MinionCounts> minions;
    std::vector<QueueStatus> queues;
    std::vector<PeerStatus> peers;

    friend bool operator==(const DaemonStatus&, const DaemonStatus&) = default;
};

/// Takes a daemon that won't come back out of a group.
struct MemberRemoval {
    GroupId group;
    DaemonId daemon;

    friend bool operator==(const MemberRemoval&, const MemberRemoval&) = default;
};

} // namespace trefoilwing
