#pragma once

#include "Base/Error.h"
#include "Model/Declaration.h"
#include "Model/FleetMessages.h"
#include "Model/Identifiers.h"
#include "Model/Units.h"

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace trefoilwing {

/// Numbers the foundings of a group; a group that has lost its past and is founded anew gets a higher one.
using Epoch = StrongId<struct EpochTag, uint64_t>;

/// One member's memory of a replicated log. A daemon that lost its storage is another member.
struct MemberId {
    DaemonId daemon;
    /// The incarnation of the storage: of the data folder, or of the process where there is no disk.
    Incarnation storage;

    friend auto operator<=>(const MemberId&, const MemberId&) = default;
    friend bool operator==(const MemberId&, const MemberId&) = default;

    template <typename H>
    friend H AbslHashValue(H state, const MemberId& id)
    {
        return H::combine(std::move(state), id.daemon, id.storage);
    }
};

/// A member of a replicated log's group.
struct Member {
    MemberId id;
    /// False for a learner, which is sent the log but doesn't count.
    bool isVoter = false;
    /// Whether its acknowledgement means that the entry is synced.
    bool hasDisk = false;
    /// Whether it is never made a voter.
    bool staysLearner = false;

    friend bool operator==(const Member&, const Member&) = default;
};

/// Begins a leader's term.
struct NoOperation {
    friend bool operator==(const NoOperation&, const NoOperation&) = default;
};

/// The first record of every log.
struct FoundingRecord {
    Epoch epoch;
    absl::Time foundedAt;
    /// How long submissions are answered "may have run", since an earlier epoch may have taken them.
    absl::Duration claimGuard;
    std::vector<Member> members;

    friend bool operator==(const FoundingRecord&, const FoundingRecord&) = default;
};

/// Takes a submission for its owner, unless it has been taken before.
struct ClaimRecord {
    SubmissionKey submission;
    Digest digest;
    DaemonRun owner;
    absl::Time claimedAt;
    /// How long the claim is kept after its outcome.
    absl::Duration retention;

    friend bool operator==(const ClaimRecord&, const ClaimRecord&) = default;
};

/// Decides a submission's outcome, unless it has been decided before.
struct OutcomeRecord {
    SubmissionKey submission;
    Verdict verdict = Verdict::MayHaveRun;
    bool isComplete = false;
    DaemonRun decider;
    absl::Time decidedAt;

    friend bool operator==(const OutcomeRecord&, const OutcomeRecord&) = default;
};

/// Decides all open submissions of an owner as failed, may have run.
struct OwnerGoneRecord {
    DaemonRun owner;
    absl::Time decidedAt;

    friend bool operator==(const OwnerGoneRecord&, const OwnerGoneRecord&) = default;
};

/// Makes the next version of the configuration, if its base is the version in force.
struct PublishRecord {
    ConfigurationVersion base;
    /// Of the whole content of the change.
    Digest digest;
    std::vector<ServiceDeclaration> changed;
    std::vector<ServiceId> removed;
    std::string operatorName;

    friend bool operator==(const PublishRecord&, const PublishRecord&) = default;
};

/// Replaces the group's members. At most one voter comes or goes in one record.
struct MemberRecord {
    std::vector<Member> members;

    friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

/// Asks for a submission's state after all that was committed before; changes nothing.
struct LookUpRecord {
    SubmissionKey submission;

    friend bool operator==(const LookUpRecord&, const LookUpRecord&) = default;
};

/// Puts a routing table in force, if its version is the highest so far.
struct RoutingRecord {
    RoutingDocument document;

    friend bool operator==(const RoutingRecord&, const RoutingRecord&) = default;
};

/// Grants a cell to an owner, if the cell's epoch is still the one that the proposer saw.
/// The new epoch is the index of the record's entry, so it is unique and rises.
struct GrantRecord {
    CellId cell;
    DaemonRun owner;
    OwnerEpoch previous;

    friend bool operator==(const GrantRecord&, const GrantRecord&) = default;
};

/// Marks a point in the log after all that was committed before; changes nothing.
struct BarrierRecord {
    DaemonRun proposer;
    uint64_t number = 0;

    friend bool operator==(const BarrierRecord&, const BarrierRecord&) = default;
};

/// Remembers a minion, so that an owner finds it at once after all keepers have restarted.
struct MinionRecord {
    MinionReport report;

    friend bool operator==(const MinionRecord&, const MinionRecord&) = default;
};

/// Forgets a life of a minion.
struct MinionGoneRecord {
    MinionInstance instance;

    friend bool operator==(const MinionGoneRecord&, const MinionGoneRecord&) = default;
};

/// What an entry of a replicated log holds, new kinds last: the place is the number on disk.
using Command = std::variant<NoOperation, FoundingRecord, ClaimRecord, OutcomeRecord, OwnerGoneRecord, PublishRecord, MemberRecord, LookUpRecord,
    RoutingRecord, GrantRecord, BarrierRecord, MinionRecord, MinionGoneRecord>;

/// One entry of a replicated log.
struct LogEntry {
    LogIndex index;
    Term term;
    Command command;

    friend bool operator==(const LogEntry&, const LogEntry&) = default;
};

/// What a member must remember besides its entries before it answers.
struct HardState {
    Epoch epoch;
    Term term;
    std::optional<MemberId> votedFor;

    friend bool operator==(const HardState&, const HardState&) = default;
};

/// The decision about a submission, as the ledger keeps it.
struct DecidedOutcome {
    Verdict verdict = Verdict::MayHaveRun;
    bool isComplete = false;
    DaemonRun decider;
    absl::Time decidedAt;

    friend bool operator==(const DecidedOutcome&, const DecidedOutcome&) = default;
};

/// One submission as the ledger keeps it.
struct LedgerClaim {
    ClaimRecord claim;
    std::optional<DecidedOutcome> outcome;

    friend bool operator==(const LedgerClaim&, const LedgerClaim&) = default;
};

/// A part of a ledger's state in a snapshot.
struct LedgerChunk {
    /// Submissions that weren't claimed yet are answered "may have run" up to this time.
    absl::Time guardUntil;
    /// The latest time in any record applied.
    absl::Time latest;
    std::vector<LedgerClaim> claims;

    friend bool operator==(const LedgerChunk&, const LedgerChunk&) = default;
};

/// A published change as the configuration's history keeps it.
struct ConfigurationChange {
    ConfigurationVersion version;
    PublishRecord publish;

    friend bool operator==(const ConfigurationChange&, const ConfigurationChange&) = default;
};

/// The configuration's state in a snapshot.
struct ConfigurationChunk {
    Configuration configuration;
    std::vector<ConfigurationChange> history;

    friend bool operator==(const ConfigurationChunk&, const ConfigurationChunk&) = default;
};

/// The fleet's state in a snapshot.
struct FleetChunk {
    RoutingDocument routing;
    std::vector<CellGrant> grants;
    std::vector<MinionReport> minions;

    friend bool operator==(const FleetChunk&, const FleetChunk&) = default;
};

/// A part of a state machine's state, small enough for one message.
using SnapshotChunk = std::variant<LedgerChunk, ConfigurationChunk, FleetChunk>;

/// A state machine's state after an entry, in place of the log up to it.
struct Snapshot {
    LogIndex lastIndex;
    Term lastTerm;
    Epoch epoch;
    std::vector<Member> members;
    std::vector<SnapshotChunk> chunks;

    friend bool operator==(const Snapshot&, const Snapshot&) = default;
};

} // namespace trefoilwing
