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

/// Number of the group's founding. A group that lost its log and is founded again gets a higher epoch.
using Epoch = StrongId<struct EpochTag, uint64_t>;

/// Identifies a member of a group by its storage. A daemon that lost its storage is another member.
struct MemberId {
    DaemonId daemon;
    /// The incarnation of the storage: of the data folder, or of the process if there is no disk.
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
    /// False for a learner, which receives the log but doesn't count in a quorum.
    bool isVoter = false;
    /// Whether the member acknowledges entries only after they are synced to disk.
    bool hasDisk = false;
    /// Whether the member must never be promoted to a voter.
    bool staysLearner = false;

    friend bool operator==(const Member&, const Member&) = default;
};

/// The empty record with which a leader begins its term.
struct NoOperation {
    friend bool operator==(const NoOperation&, const NoOperation&) = default;
};

/// The first record of every log; it founds the group.
struct FoundingRecord {
    Epoch epoch;
    absl::Time foundedAt;
    /// How long unknown submissions are answered "may have run", since an earlier epoch may have accepted them.
    absl::Duration claimGuard;
    std::vector<Member> members;

    friend bool operator==(const FoundingRecord&, const FoundingRecord&) = default;
};

/// Claims a submission for its owner, unless it is already claimed.
struct ClaimRecord {
    SubmissionKey submission;
    Digest digest;
    DaemonRun owner;
    absl::Time claimedAt;
    /// How long the claim is kept after its outcome.
    absl::Duration retention;

    friend bool operator==(const ClaimRecord&, const ClaimRecord&) = default;
};

/// Records a submission's outcome, unless one is already recorded.
struct OutcomeRecord {
    SubmissionKey submission;
    Verdict verdict = Verdict::MayHaveRun;
    bool isComplete = false;
    DaemonRun decider;
    absl::Time decidedAt;

    friend bool operator==(const OutcomeRecord&, const OutcomeRecord&) = default;
};

/// Records all open submissions of a lost owner as failed with the verdict "may have run".
struct OwnerGoneRecord {
    DaemonRun owner;
    absl::Time decidedAt;

    friend bool operator==(const OwnerGoneRecord&, const OwnerGoneRecord&) = default;
};

/// Publishes the next version of the configuration, if its base is the version in force.
struct PublishRecord {
    ConfigurationVersion base;
    /// Digest of the full content of the change.
    Digest digest;
    std::vector<ServiceDeclaration> changed;
    std::vector<ServiceId> removed;
    std::string operatorName;

    friend bool operator==(const PublishRecord&, const PublishRecord&) = default;
};

/// Replaces the list of the group's members. One record adds or removes at most one voter.
struct MemberRecord {
    std::vector<Member> members;

    friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

/// Reads a submission's state after all records committed before it; changes nothing.
struct LookUpRecord {
    SubmissionKey submission;

    friend bool operator==(const LookUpRecord&, const LookUpRecord&) = default;
};

/// Activates a routing table, if its version is the highest so far.
struct RoutingRecord {
    RoutingDocument document;

    friend bool operator==(const RoutingRecord&, const RoutingRecord&) = default;
};

/// Grants a cell to an owner, if the cell's epoch is still the one that the proposer saw.
/// The new epoch is the log index of the record, so epochs are unique and increase.
struct GrantRecord {
    CellId cell;
    DaemonRun owner;
    OwnerEpoch previous;

    friend bool operator==(const GrantRecord&, const GrantRecord&) = default;
};

/// Marks a point in the log after all records committed before it; changes nothing.
struct BarrierRecord {
    DaemonRun proposer;
    uint64_t number = 0;

    friend bool operator==(const BarrierRecord&, const BarrierRecord&) = default;
};

/// Stores a minion's report, so that owners can find the minion at once after a restart of all keepers.
struct MinionRecord {
    MinionReport report;

    friend bool operator==(const MinionRecord&, const MinionRecord&) = default;
};

/// Deletes the stored report of a minion instance.
struct MinionGoneRecord {
    MinionInstance instance;

    friend bool operator==(const MinionGoneRecord&, const MinionGoneRecord&) = default;
};

/// Begins or ends the evacuation of a data centre, if its revision is still the one that the proposer knew. So an order
/// that was held up can't take effect after a later one.
struct EvacuationRecord {
    DataCentreId dataCentre;
    bool isEvacuated = false;
    EvacuationRevision previous;
    /// The proposer and the number of the order there, so that the proposer recognises the record.
    DaemonRun proposer;
    uint64_t number = 0;

    friend bool operator==(const EvacuationRecord&, const EvacuationRecord&) = default;
};

/// The content of a log entry. New alternatives are appended at the end,
/// because the index in this list is stored on disk.
using Command = std::variant<NoOperation, FoundingRecord, ClaimRecord, OutcomeRecord, OwnerGoneRecord, PublishRecord, MemberRecord, LookUpRecord,
    RoutingRecord, GrantRecord, BarrierRecord, MinionRecord, MinionGoneRecord, EvacuationRecord>;

/// One entry of a replicated log.
struct LogEntry {
    LogIndex index;
    Term term;
    Command command;

    friend bool operator==(const LogEntry&, const LogEntry&) = default;
};

/// The state that a member must store, besides its entries, before it answers a message.
struct HardState {
    Epoch epoch;
    Term term;
    std::optional<MemberId> votedFor;

    friend bool operator==(const HardState&, const HardState&) = default;
};

/// The outcome of a submission, as stored in the ledger.
struct DecidedOutcome {
    Verdict verdict = Verdict::MayHaveRun;
    bool isComplete = false;
    DaemonRun decider;
    absl::Time decidedAt;

    friend bool operator==(const DecidedOutcome&, const DecidedOutcome&) = default;
};

/// A submission, as stored in the ledger.
struct LedgerClaim {
    ClaimRecord claim;
    std::optional<DecidedOutcome> outcome;

    friend bool operator==(const LedgerClaim&, const LedgerClaim&) = default;
};

/// Part of a ledger's state in a snapshot.
struct LedgerChunk {
    /// Until this time, unknown submissions are answered "may have run".
    absl::Time guardUntil;
    /// The latest time in any applied record.
    absl::Time latest;
    std::vector<LedgerClaim> claims;

    friend bool operator==(const LedgerChunk&, const LedgerChunk&) = default;
};

/// A published change in the configuration's history.
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
    /// The minions that left last, in the order in which they did.
    std::vector<MinionInstance> departed;
    std::vector<Evacuation> evacuations;

    friend bool operator==(const FleetChunk&, const FleetChunk&) = default;
};

/// Part of a state machine's state, small enough for one message.
using SnapshotChunk = std::variant<LedgerChunk, ConfigurationChunk, FleetChunk>;

/// The state of a state machine after a log entry. It replaces the log up to and including that entry.
struct Snapshot {
    LogIndex lastIndex;
    Term lastTerm;
    Epoch epoch;
    std::vector<Member> members;
    std::vector<SnapshotChunk> chunks;

    friend bool operator==(const Snapshot&, const Snapshot&) = default;
};

} // namespace trefoilwing
