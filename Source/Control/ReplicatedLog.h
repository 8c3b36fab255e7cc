#pragma once

#include "Control/ElectionTally.h"
#include "Control/Envelope.h"
#include "Control/LogStore.h"
#include "Control/MemberProgress.h"
#include "Model/LogMessages.h"
#include "Model/PeerMessage.h"
#include "Ports/Journal.h"
#include "Ports/Random.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace trefoilwing {

/// Parameters of one member of a group.
struct LogSettings {
    GroupId group;
    /// This member, as described in its requests to join.
    Member self;
    /// The number that forwarded proposals are counted from; higher than any that an earlier incarnation of this daemon
    /// used, so that the leader doesn't take a new proposal for a repeated one.
    uint64_t firstProposal = 0;
    /// The daemons that the settings name for the group, including this one.
    std::vector<DaemonId> daemons;
    uint32_t maxVoters = 5;
    absl::Duration heartbeat = absl::Milliseconds(100);
    /// Minimum time without a leader before an election; up to the same time again is added at random.
    absl::Duration electionTimeout = absl::Milliseconds(500);
    /// Maximum time from a member's start to its first election; the pre-vote keeps it from disturbing a leader.
    absl::Duration maxFirstElectionDelay = absl::InfiniteDuration();
    /// Interval at which a member without a group sends requests to join.
    absl::Duration joinInterval = absl::Milliseconds(500);
    /// Maximum number of log entries before a snapshot replaces them.
    uint64_t maxEntries = 20000;
    /// How long a newly founded ledger answers new claims with "may have run". Zero only for a group that never existed.
    absl::Duration claimGuard;
    /// Whether this member may found the group; must be false once the system has ever run.
    bool mayFound = true;
    /// Number of disks that must hold an entry before it is committed, in addition to the majority rule: one more
    /// than the number of disks that may be lost at once.
    uint32_t minSyncedDisks = 1;
    /// Time of silence, for all leaders together, after which a voter is removed once a learner that has caught up has
    /// been promoted in its place.
    absl::Duration voterTimeout = absl::InfiniteDuration();
    /// Whether the number of voters is kept odd, so that a group of four doesn't need three for its majority.
    bool keepsOddVoters = false;
};

/// The actions that a ReplicatedLog requests, each list in the order in which to carry it out.
struct LogOutbox {
    std::vector<Envelope> messages;
    std::vector<JournalBatch> batches;
    /// If set, replaces the state of the state machine before the committed entries are applied.
    std::shared_ptr<const Snapshot> restored;
    /// Entries to apply, exactly once and in order.
    std::vector<LogEntry> committed;
    /// Whether the member's role or its known leader has changed.
    bool roleChanged = false;
};

enum class LogRole {
    /// Doesn't belong to a group yet.
    Joining,
    Follower,
    PreCandidate,
    Candidate,
    Leader,
};

/// One member of a group that maintains a replicated log with the Raft algorithm (Ongaro, 2014).
///
/// It does no I/O: its inputs are messages, completed disk syncs and the time, and it leaves the actions to
/// carry out in an outbox. docs/DESIGN.md explains the differences from the thesis: a commit needs at least
/// one member that has synced the entry to disk, a daemon that lost its storage rejoins as a new member, and a
/// lost voter is removed by the same record that adds its successor as a learner.
class ReplicatedLog {
public:
    /// @param content the content of the member's journal; empty if it has none.
    ReplicatedLog(LogSettings, JournalContent content, Random&, absl::Time now);

    void receive(const LogMessage&, absl::Time now);

    /// Reports that all batches up to the token are synced to disk.
    void synced(SyncToken, absl::Time now);

    /// Handles timers that are due.
    void tick(absl::Time now);

    /// @return when tick() has to be called next.
    absl::Time nextWakeup() const;

    /// Appends the command, or forwards it to the leader.
    /// @return false if no leader is known, or a new group still lacks voters, and nothing was done. True doesn't guarantee that the command is
    /// committed: the proposer has to repeat it until it is applied.
    bool propose(Command, absl::Time now);

    /// Adds a daemon to those to which this member sends its requests to join.
    void addDaemon(const DaemonId&);

    /// Removes a daemon that won't come back from the group.
    /// @return false if this member isn't the leader or another change of members is in progress.
    bool removeDaemon(const DaemonId&, absl::Time now);

    /// @return whether the log is long enough that a snapshot of the state machine should replace its entries.
    bool wantsSnapshot() const;

    /// Replaces the entries applied so far by a snapshot, whose chunks are the state after them.
    void compact(std::vector<SnapshotChunk> chunks);

    LogOutbox takeOutbox();

    /// @return whether this member is the leader and has recently had contact with a majority.
    bool isLeader(absl::Time now) const;

    LogRole role() const { return role_; }
    Term term() const { return hardState_.term; }
    Epoch epoch() const { return hardState_.epoch; }
    LogIndex commitIndex() const { return commitIndex_; }
    LogIndex lastIndex() const { return store_.lastIndex(); }
    const std::vector<Member>& members() const { return store_.members(); }
    const std::optional<MemberId>& leader() const { return leader_; }
    const Member& self() const { return settings_.self; }
    /// @return the number of elections, pre-votes included, that this member has started without becoming the leader.
    uint64_t failedElections() const { return failedElections_; }
    /// @return the answers in the last of them.
    const ElectionTally& lastFailedElection() const { return lastFailedElection_; }

private:
    struct MessageAwaitingSync {
        SyncToken token;
        Envelope envelope;
    };
    struct PendingSync {
        SyncToken token;
        LogIndex lastIndex;
    };
    struct IncomingSnapshot {
        std::shared_ptr<Snapshot> snapshot;
        MemberId from;
    };
    /// Another daemon's latest reply to a request to join, with the time of its arrival.
    struct ReceivedJoinReply {
        JoinReply reply;
        absl::Time receivedAt;
    };

    // Joining and founding.
    void receiveMessage(const JoinRequest&, absl::Time now);
    void receiveMessage(const JoinReply&, absl::Time now);
    void sendJoinRequests(absl::Time now);
    void foundIfAllowed(absl::Time now);
    void found(std::vector<Member>, absl::Duration claimGuard, absl::Time now);
    void foundNewGroup(const std::vector<JoinReply>& others, absl::Time now);
    void foundFromSurvivor(absl::Time now);
    std::vector<JoinReply> validJoinReplies(absl::Time now) const;
    bool isOnlySurvivor(const std::vector<JoinReply>& others) const;
    bool holdsAllCommitted() const;
    /// @return whether the group was founded a short time ago and lacks the voters to bear the losses of its settings.
    bool isBeingFounded(absl::Time now) const;
    bool needsToJoin(absl::Time now) const;

    // Elections.
    void receiveMessage(const VoteRequest&, absl::Time now);
    void receiveMessage(const VoteReply&, absl::Time now);
    void startPreVote(absl::Time now);
    void startElection(absl::Time now);
    void askForVotes(bool isPreVote, Term);
    void countVotes(absl::Time now);
    void becomeLeader(absl::Time now);
    void follow(Term, std::optional<MemberId> leader, absl::Time now);
    void setTerm(Term);
    void recordHardState();
    void resetElection(absl::Time now);
    bool hasLiveLeader(absl::Time now) const;
    bool isUpToDate(const VoteRequest&) const;

    // Replication, at a follower.
    void receiveMessage(const AppendRequest&, absl::Time now);
    void receiveMessage(const SnapshotRequest&, absl::Time now);
    bool acceptLeader(const LogHeader&, absl::Time now);
    void takeEntries(const AppendRequest&);
    LogIndex lastIndexHint(LogIndex refused) const;
    void replyToAppend(const MemberId& leader, AppendReply);
    bool takeChunk(const SnapshotRequest&);
    void install(std::shared_ptr<const Snapshot>);

    // Replication, at the leader.
    void receiveMessage(const AppendReply&, absl::Time now);
    void receiveMessage(const ProposalForward&, absl::Time now);
    void appendAsLeader(Command, absl::Time now);
    void replicate(absl::Time now, bool isHeartbeat);
    void sendEntries(const Member&, MemberProgress&, absl::Time now);
    void sendSnapshotChunk(const Member&, MemberProgress&, absl::Time now);
    void advanceCommit(absl::Time now);
    void tickLeader(absl::Time now);
    void stepDown(absl::Time now);
    absl::Time quorumContactAt(absl::Time now) const;
    MemberProgress& progressOf(const MemberId&, absl::Time now);

    // Members, at the leader.
    void maintainMembers(absl::Time now);
    bool admitJoining(std::vector<Member>&);
    bool promoteLearner(std::vector<Member>&, absl::Time now) const;
    bool dropSilentVoter(std::vector<Member>&, absl::Time now) const;
    bool isCaughtUp(const Member&, absl::Time now) const;
    size_t targetVoterCount() const;
    bool isSilentVoter(const Member&, absl::Time now) const;
    std::vector<MemberSilence> silentVoters(absl::Time now) const;
    /// Records, at a follower, which members the leader has heard.
    void recordContacts(const AppendRequest&, absl::Time now);
    bool mayChangeMembers() const;
    void changeMembers(std::vector<Member>, absl::Time now);

    // Common.
    bool isForMe(const LogHeader&);
    LogHeader headerTo(const MemberId&) const;
    LogHeader headerTo(const MemberId&, Term) const;
    void send(const MemberId&, PeerMessage);
    /// Sends a message to the daemons of the settings, to the known members and to the daemons added since.
    void sendToOtherDaemons(const PeerMessage&);
    void sendWhenSynced(const MemberId&, PeerMessage);
    JournalBatch& openBatch();
    void closeBatch();
    void deliverCommitted();
    void append(LogEntry);
    void truncateFrom(LogIndex);
    LogIndex matchIndexOf(const Member&) const;
    const Member* findMember(const MemberId&) const;
    bool isVoter() const;
    bool hasVoterWithDisk() const;
    /// @return whether a newer member of the same daemon asks to join, which shows that this one will never return.
    bool isSuperseded(const Member&) const;
    bool acceptsProposal(const Command&, absl::Time now) const;
    size_t majority() const;
    LogIndex syncedIndex() const;
    void setRole(LogRole);

    LogSettings settings_;
    Random& random_;
    LogStore store_;
    HardState hardState_;
    LogRole role_ = LogRole::Joining;
    LogIndex commitIndex_;
    LogIndex appliedIndex_;

    std::optional<MemberId> leader_;
    absl::Time lastLeaderContactAt_ = absl::InfinitePast();
    absl::Time electionDue_;
    absl::Time heartbeatDue_;
    absl::Time joinDue_;
    std::set<MemberId> votes_;
    /// The voters that refused in the current election.
    std::set<MemberId> refusals_;
    uint64_t failedElections_ = 0;
    ElectionTally lastFailedElection_;

    std::map<MemberId, MemberProgress> progress_;
    /// When each other member was last heard by a leader. It outlasts changes of the leader.
    std::map<MemberId, absl::Time> heardAt_;
    uint64_t round_ = 0;
    /// The index of the leader's first entry of its term.
    LogIndex termStartIndex_;
    std::map<DaemonId, Member> joining_;
    /// Daemons that this member knows beside those of the settings; they have no part in a founding.
    std::set<DaemonId> contacts_;
    std::map<DaemonId, ReceivedJoinReply> joinReplies_;
    uint64_t proposals_;
    absl::flat_hash_map<ProposalId, LogIndex> forwarded_;

    std::optional<IncomingSnapshot> incoming_;

    SyncToken lastToken_;
    SyncToken syncedToken_;
    LogIndex durableIndex_;
    SyncToken selfVoteToken_;
    std::deque<PendingSync> pendingSyncs_;
    std::deque<MessageAwaitingSync> awaitingSync_;
    std::optional<JournalBatch> batch_;
    LogOutbox outbox_;
};

} // namespace trefoilwing
