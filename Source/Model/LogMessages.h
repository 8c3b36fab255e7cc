#pragma once

#include "Model/LogRecord.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace trefoilwing {

/// What every message between the members of a group carries.
struct LogHeader {
    GroupId group;
    Epoch epoch;
    MemberId from;
    /// The member that the message is for; a daemon that has become another member drops it.
    MemberId to;
    Term term;

    friend bool operator==(const LogHeader&, const LogHeader&) = default;
};

/// Asks for a vote, or in a pre-vote whether one would be given.
struct VoteRequest {
    LogHeader header;
    bool isPreVote = false;
    LogIndex lastIndex;
    Term lastTerm;

    friend bool operator==(const VoteRequest&, const VoteRequest&) = default;
};

struct VoteReply {
    LogHeader header;
    bool isPreVote = false;
    /// The term that was asked for.
    Term askedTerm;
    bool isGranted = false;

    friend bool operator==(const VoteReply&, const VoteReply&) = default;
};

/// Brings entries, or none as a heartbeat.
struct AppendRequest {
    LogHeader header;
    LogIndex previousIndex;
    Term previousTerm;
    std::vector<LogEntry> entries;
    LogIndex commit;
    /// Numbers the leader's requests of its term, so that it can tell when the answered one was sent.
    uint64_t round = 0;

    friend bool operator==(const AppendRequest&, const AppendRequest&) = default;
};

/// Answers an AppendRequest or a SnapshotRequest.
struct AppendReply {
    LogHeader header;
    bool isAccepted = false;
    /// Accepted: the last index that is the leader's and is kept. Refused: the last index worth trying.
    LogIndex lastIndex;
    uint64_t round = 0;
    /// Of a snapshot that is still being taken in: the next piece wanted.
    std::optional<uint32_t> nextChunk;

    friend bool operator==(const AppendReply&, const AppendReply&) = default;
};

/// Brings one piece of a snapshot to a member that is behind the log's beginning.
struct SnapshotRequest {
    LogHeader header;
    LogIndex lastIndex;
    Term lastTerm;
    std::vector<Member> members;
    uint32_t chunk = 0;
    uint32_t chunks = 0;
    SnapshotChunk content;
    uint64_t round = 0;

    friend bool operator==(const SnapshotRequest&, const SnapshotRequest&) = default;
};

/// Names a proposal among all, so that a repeat is recognised.
struct ProposalId {
    MemberId proposer;
    uint64_t number = 0;

    friend auto operator<=>(const ProposalId&, const ProposalId&) = default;
    friend bool operator==(const ProposalId&, const ProposalId&) = default;

    template <typename H>
    friend H AbslHashValue(H state, const ProposalId& id)
    {
        return H::combine(std::move(state), id.proposer, id.number);
    }
};

/// Passes a proposal to the leader.
struct ProposalForward {
    LogHeader header;
    ProposalId proposal;
    Command command;

    friend bool operator==(const ProposalForward&, const ProposalForward&) = default;
};

/// Asks to be made a learner; sent to every daemon of the settings by a member that no group names.
struct JoinRequest {
    GroupId group;
    Member member;

    friend bool operator==(const JoinRequest&, const JoinRequest&) = default;
};

/// Tells a member that asked to join where the sender stands.
struct JoinReply {
    GroupId group;
    MemberId to;
    Member member;
    /// Whether the sender holds anything of a group.
    bool hasGroup = false;
    /// Whether the sender is a voter by its own copy of the log.
    bool isVoter = false;

    friend bool operator==(const JoinReply&, const JoinReply&) = default;
};

/// Asks a peer for the changes of the configuration since a version.
struct ConfigurationQuery {
    ConfigurationVersion since;

    friend bool operator==(const ConfigurationQuery&, const ConfigurationQuery&) = default;
};

/// The changes since the version asked for, in order, or the whole where the history doesn't reach back.
struct ConfigurationDelta {
    ConfigurationVersion since;
    std::optional<Configuration> whole;
    std::vector<ConfigurationChange> changes;

    friend bool operator==(const ConfigurationDelta&, const ConfigurationDelta&) = default;
};

/// The messages that a ReplicatedLog takes and sends.
using LogMessage = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotRequest, ProposalForward, JoinRequest, JoinReply>;

} // namespace trefoilwing
