#pragma once

#include "Model/Identifiers.h"
#include "Model/Units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace trefoilwing {

/// The status of one member of a replicated log's group.
struct MemberStatus {
    DaemonId daemon;
    bool isVoter = false;
    bool hasDisk = false;

    friend bool operator==(const MemberStatus&, const MemberStatus&) = default;
};

/// The status of a replicated log that a daemon is a member of.
struct GroupStatus {
    GroupId group;
    /// The daemon's role in the group, e.g. "leader" or "follower".
    std::string role;
    Term term;
    /// Empty if no leader is known.
    DaemonId leader;
    LogIndex committed;
    std::vector<MemberStatus> members;

    friend bool operator==(const GroupStatus&, const GroupStatus&) = default;
};

/// Number of minions of one service that a daemon knows, by state.
struct MinionCounts {
    ServiceId service;
    uint32_t serving = 0;
    uint32_t leaving = 0;
    uint32_t ejected = 0;
    SlotCount slots;
    SlotCount busySlots;

    friend bool operator==(const MinionCounts&, const MinionCounts&) = default;
};

/// Number of jobs of one backer that a daemon owns.
struct QueueStatus {
    ServiceId service;
    BackerId backer;
    uint32_t jobs = 0;
    uint32_t waitingTasks = 0;
    uint32_t runningTasks = 0;

    friend bool operator==(const QueueStatus&, const QueueStatus&) = default;
};

/// The status of another daemon, as seen by this one.
struct PeerStatus {
    DaemonId daemon;
    bool isReachable = false;

    friend bool operator==(const PeerStatus&, const PeerStatus&) = default;
};

/// The status of a daemon for operators.
struct DaemonStatus {
    DaemonId daemon;
    Incarnation incarnation;
    DataCentreId dataCentre;
    bool isEntry = false;
    bool isKeeper = false;
    /// Whether the daemon accepts no new work.
    bool isDraining = false;
    /// Whether the daemon is draining and all its work has ended, so that the process may be stopped.
    bool isDrained = false;
    ConfigurationVersion configuration;
    std::vector<GroupStatus> groups;
    std::vector<MinionCounts> minions;
    std::vector<QueueStatus> queues;
    std::vector<PeerStatus> peers;

    friend bool operator==(const DaemonStatus&, const DaemonStatus&) = default;
};

/// Removes a permanently lost daemon from a group.
struct MemberRemoval {
    GroupId group;
    DaemonId daemon;

    friend bool operator==(const MemberRemoval&, const MemberRemoval&) = default;
};

} // namespace trefoilwing
