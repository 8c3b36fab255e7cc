#pragma once

#include "Model/LogRecord.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace trefoilwing {

/// The common header of all messages between the members of a group.
struct LogHeader {
    GroupId group;
    Epoch epoch;
    MemberId from;
    /// The member that the message is for. A daemon that has lost its storage is another member and drops the message.
    MemberId to;
    Term term;

    friend bool operator==(const LogHeader&, const LogHeader&) = default;
};

/// Asks for a vote; in a pre-vote, asks whether the receiver would vote for the sender.
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
    /// The term of the vote request.
    Term askedTerm;
    bool isGranted = false;

    friend bool operator==(const VoteReply&, const VoteReply&) = default;
};

/// How long a member has been silent for the leader, or for earlier leaders too.
struct MemberSilence {
    MemberId member;
    absl::Duration duration;

    friend bool operator==(const MemberSilence&, const MemberSilence&) = default;
};

/// Sends log entries to a member. Without entries it is a heartbeat.
struct AppendRequest {
    LogHeader header;
    LogIndex previousIndex;
    Term previousTerm;
    std::vector<LogEntry> entries;
    LogIndex commit;
    /// Number of the request in the leader's term, so that the leader knows when the answered request was sent.
    uint64_t round = 0;
    /// The voters that don't answer the leader, so that the next leader doesn't count their silence anew.
    std::vector<MemberSilence> silentVoters;

    friend bool operator==(const AppendRequest&, const AppendRequest&) = default;
};

/// Answers an AppendRequest or a SnapshotRequest.
struct AppendReply {
    LogHeader header;
    bool isAccepted = false;
    /// If accepted, the last index that matches the leader's log and is
    /// stored. If refused, the last index that may match.
    LogIndex lastIndex;
    uint64_t round = 0;
    /// The next chunk wanted of a snapshot that is still being received.
    std::optional<uint32_t> nextChunk;

    friend bool operator==(const AppendReply&, const AppendReply&) = default;
};

/// Sends one chunk of a snapshot to a member that needs entries which the log no longer holds.
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

/// Identifies a proposal in the whole group, so that repeated proposals are recognised.
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

/// Forwards a proposal to the leader.
struct ProposalForward {
    LogHeader header;
    ProposalId proposal;
    Command command;

    friend bool operator==(const ProposalForward&, const ProposalForward&) = default;
};

/// Asks to join the group as a learner. A daemon that isn't a member of the
/// group sends it to every daemon in its settings.
struct JoinRequest {
    GroupId group;
    Member member;

    friend bool operator==(const JoinRequest&, const JoinRequest&) = default;
};

/// Answers a JoinRequest with the sender's own state.
struct JoinReply {
    GroupId group;
    MemberId to;
    Member member;
    /// Whether the sender stores any state of the group.
    bool hasGroup = false;
    /// Whether the sender is a voter according to its own copy of the log.
    bool isVoter = false;

    friend bool operator==(const JoinReply&, const JoinReply&) = default;
};

/// Asks a peer for the configuration changes since a version.
struct ConfigurationQuery {
    ConfigurationVersion since;

    friend bool operator==(const ConfigurationQuery&, const ConfigurationQuery&) = default;
};

/// The ordered configuration changes since the requested version, or the full
/// configuration if the history doesn't reach back that far.
struct ConfigurationDelta {
    ConfigurationVersion since;
    std::optional<Configuration> whole;
    std::vector<ConfigurationChange> changes;

    friend bool operator==(const ConfigurationDelta&, const ConfigurationDelta&) = default;
};

/// The messages that a ReplicatedLog sends and receives.
using LogMessage = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotRequest, ProposalForward, JoinRequest, JoinReply>;

} // namespace trefoilwing
