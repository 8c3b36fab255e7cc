#pragma once

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

/// What a member of a group is told at its start.
struct LogSettings {
    GroupId group;
    /// This member, as it asks to join.
    Member self;
    /// The daemons that the settings name for the group, this one included.
    std::vector<DaemonId> daemons;
    uint32_t maxVoters = 5;
    absl::Duration heartbeat = absl::Milliseconds(100);
    /// The least time without a leader before an election; the random part is as long again.
    absl::Duration electionTimeout = absl::Milliseconds(500);
    /// The longest time from a member's start to its first election; the pre-vote keeps it from disturbing a leader.
    absl::Duration firstElection = absl::InfiniteDuration();
    /// How often a member without a group asks the others.
    absl::Duration joinInterval = absl::Milliseconds(500);
    /// Entries kept before a snapshot takes their place.
    uint64_t maxEntries = 20000;
    /// How long a newly founded ledger answers "may have run"; zero only for a group that never existed.
    absl::Duration claimGuard;
    /// Whether this member may found the group; false once the system has ever run.
    bool mayFound = true;
    /// Disks that must hold an entry before it is committed, beside the majority: one more than may be lost at once.
    uint32_t minSynced = 1;
    /// A voter that was silent for so long makes way for a learner that has caught up.
    absl::Duration voterSilence = absl::InfiniteDuration();
    /// Whether the number of voters is kept odd, so that a group of four doesn't need three.
    bool keepsOddVoters = false;
};

/// What a ReplicatedLog wants done, in the order of the fields' elements.
struct LogOutbox {
    std::vector<Envelope> messages;
    std::vector<JournalBatch> batches;
    /// Replaces the state machine's state, before the committed entries.
    std::shared_ptr<const Snapshot> restored;
    /// Entries to apply, each once and in order.
    std::vector<LogEntry> committed;
    /// Whether the member's role, or the leader that it knows, changed.
    bool roleChanged = false;
};

enum class LogRole {
    /// Has no group yet.
    Joining,
    Follower,
    PreCandidate,
    Candidate,
    Leader,
};

/// One member of a group that keeps a replicated log, after Raft (Ongaro, 2014).
///
/// It is driven by messages, syncs and the time, and leaves what is to be done in an outbox.
/// What differs from the thesis is in docs/DESIGN.md: commit needs one synced member, a member that
/// forgets is another member, and a lost voter is removed in the same record that adds its successor
/// as a learner.
class ReplicatedLog {
public:
    /// @param content what the member's journal held; empty where there is none.
    ReplicatedLog(LogSettings, JournalContent content, Random&, absl::Time now);

    void receive(const LogMessage&, absl::Time now);

    /// All batches up to the token are synced.
    void synced(SyncToken, absl::Time now);

    /// Does what is due.
    void tick(absl::Time now);

    /// @return when tick() wants to be called next.
    absl::Time nextWakeup() const;

    /// Appends the command, or passes it to the leader.
    /// @return false where no leader is known: nothing was done. True promises nothing: the proposer
    /// repeats until the command is applied.
    bool propose(Command, absl::Time now);

    /// Adds a daemon to those that are asked to let this member join.
    void addDaemon(const DaemonId&);

    /// Removes a daemon that won't come back.
    /// @return false where this isn't the leader, or another change is under way.
    bool removeDaemon(const DaemonId&, absl::Time now);

    /// @return whether the entries kept are to be replaced by a snapshot of the state machine.
    bool wantsSnapshot() const;

    /// Replaces all entries applied so far; the pieces are the state after them.
    void compact(std::vector<SnapshotChunk> chunks);

    LogOutbox takeOutbox();

    /// @return whether this member leads and has lately heard from a majority.
    bool isLeader(absl::Time now) const;

    LogRole role() const { return role_; }
    Term term() const { return hardState_.term; }
    Epoch epoch() const { return hardState_.epoch; }
    LogIndex commitIndex() const { return commitIndex_; }
    LogIndex lastIndex() const { return store_.lastIndex(); }
    const std::vector<Member>& members() const { return store_.members(); }
    const std::optional<MemberId>& leader() const { return leader_; }
    const Member& self() const { return settings_.self; }

private:
    struct GatedMessage {
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
    /// Where another daemon stands, as it said itself.
    struct Standing {
        JoinReply reply;
        absl::Time heardAt;
    };

    // Joining and founding.
    void receiveMessage(const JoinRequest&, absl::Time now);
    void receiveMessage(const JoinReply&, absl::Time now);
    void askToJoin(absl::Time now);
    void foundIfNobodyElseCan(absl::Time now);
    void found(std::vector<Member>, absl::Duration claimGuard, absl::Time now);
    void foundFirst(const std::vector<JoinReply>& others, absl::Time now);
    void foundFromSurvivor(absl::Time now);
    std::vector<JoinReply> standingsOfOthers(absl::Time now) const;
    bool isOnlySurvivor(const std::vector<JoinReply>& others) const;
    bool holdsAllCommitted() const;
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
    void noteHardState();
    void resetElection(absl::Time now);
    bool hearsLeader(absl::Time now) const;
    bool isUpToDate(const VoteRequest&) const;

    // Replication, at a follower.
    void receiveMessage(const AppendRequest&, absl::Time now);
    void receiveMessage(const SnapshotRequest&, absl::Time now);
    bool acceptLeader(const LogHeader&, absl::Time now);
    void takeEntries(const AppendRequest&);
    LogIndex lastIndexWorthTrying(LogIndex refused) const;
    void replyToAppend(const MemberId& leader, AppendReply);
    bool takePiece(const SnapshotRequest&);
    void install(std::shared_ptr<const Snapshot>);

    // Replication, at the leader.
    void receiveMessage(const AppendReply&, absl::Time now);
    void receiveMessage(const ProposalForward&, absl::Time now);
    void appendOwn(Command, absl::Time now);
    void replicate(absl::Time now, bool isHeartbeat);
    void sendEntries(const Member&, MemberProgress&, absl::Time now);
    void sendSnapshotPiece(const Member&, MemberProgress&, absl::Time now);
    void advanceCommit(absl::Time now);
    void tickLeader(absl::Time now);
    void stepDown(absl::Time now);
    absl::Time quorumHeardAt(absl::Time now) const;
    MemberProgress& progressOf(const MemberId&, absl::Time now);

    // Members, at the leader.
    void maintainMembers(absl::Time now);
    bool admitJoining(std::vector<Member>&);
    bool promoteLearner(std::vector<Member>&, absl::Time now) const;
    bool dropSilentVoter(std::vector<Member>&, absl::Time now) const;
    bool isCaughtUp(const Member&, absl::Time now) const;
    size_t wantedVoters() const;
    bool mayChangeMembers() const;
    void changeMembers(std::vector<Member>, absl::Time now);

    // Common.
    bool isForMe(const LogHeader&);
    LogHeader headerTo(const MemberId&) const;
    LogHeader headerTo(const MemberId&, Term) const;
    void send(const MemberId&, PeerMessage);
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
    /// Whether another member of the daemon asks to join, so that this one is gone for good.
    bool isSuperseded(const Member&) const;
    bool acceptsProposals(absl::Time now) const;
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
    absl::Time heardLeader_ = absl::InfinitePast();
    absl::Time electionDue_;
    absl::Time heartbeatDue_;
    absl::Time joinDue_;
    std::set<MemberId> votes_;

    std::map<MemberId, MemberProgress> progress_;
    uint64_t round_ = 0;
    /// The index of the leader's first entry of its term.
    LogIndex termStart_;
    std::map<DaemonId, Member> joining_;
    std::map<DaemonId, Standing> standings_;
    uint64_t proposals_ = 0;
    absl::flat_hash_map<ProposalId, LogIndex> forwarded_;

    std::optional<IncomingSnapshot> incoming_;

    SyncToken lastToken_;
    SyncToken syncedToken_;
    LogIndex durableIndex_;
    SyncToken selfVoteToken_;
    std::deque<PendingSync> pendingSyncs_;
    std::deque<GatedMessage> gated_;
    std::optional<JournalBatch> batch_;
    LogOutbox outbox_;
};

} // namespace trefoilwing
