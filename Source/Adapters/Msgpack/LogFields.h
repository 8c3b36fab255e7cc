#pragma once

#include "Adapters/Msgpack/FieldList.h"
#include "Adapters/Msgpack/FleetFields.h"
#include "Model/LogMessages.h"

namespace trefoilwing {

// LogRecord.h

void visitFields(auto&& visit, Fields<MemberId> auto& value)
{
    visit(value.daemon, value.storage);
}

void visitFields(auto&& visit, Fields<Member> auto& value)
{
    visit(value.id, value.isVoter, value.hasDisk, value.staysLearner);
}

void visitFields(auto&& visit, Fields<NoOperation> auto&)
{
    visit();
}

void visitFields(auto&& visit, Fields<FoundingRecord> auto& value)
{
    visit(value.epoch, value.foundedAt, value.claimGuard, value.members);
}

void visitFields(auto&& visit, Fields<ClaimRecord> auto& value)
{
    visit(value.submission, value.digest, value.owner, value.claimedAt, value.retention);
}

void visitFields(auto&& visit, Fields<OutcomeRecord> auto& value)
{
    visit(value.submission, value.verdict, value.isComplete, value.decider, value.decidedAt);
}

void visitFields(auto&& visit, Fields<OwnerGoneRecord> auto& value)
{
    visit(value.owner, value.decidedAt);
}

void visitFields(auto&& visit, Fields<PublishRecord> auto& value)
{
    visit(value.base, value.digest, value.changed, value.removed, value.operatorName);
}

void visitFields(auto&& visit, Fields<MemberRecord> auto& value)
{
    visit(value.members);
}

void visitFields(auto&& visit, Fields<LookUpRecord> auto& value)
{
    visit(value.submission);
}

void visitFields(auto&& visit, Fields<RoutingRecord> auto& value)
{
    visit(value.document);
}

void visitFields(auto&& visit, Fields<GrantRecord> auto& value)
{
    visit(value.cell, value.owner, value.previous);
}

void visitFields(auto&& visit, Fields<BarrierRecord> auto& value)
{
    visit(value.proposer, value.number);
}

void visitFields(auto&& visit, Fields<MinionRecord> auto& value)
{
    visit(value.report);
}

void visitFields(auto&& visit, Fields<MinionGoneRecord> auto& value)
{
    visit(value.instance);
}

void visitFields(auto&& visit, Fields<EvacuationRecord> auto& value)
{
    visit(value.dataCentre, value.isEvacuated, value.previous, value.proposer, value.number);
}

void visitFields(auto&& visit, Fields<FleetChunk> auto& value)
{
    visit(value.routing, value.grants, value.minions, value.departed, value.evacuations);
}

void visitFields(auto&& visit, Fields<LogEntry> auto& value)
{
    visit(value.index, value.term, value.command);
}

void visitFields(auto&& visit, Fields<HardState> auto& value)
{
    visit(value.epoch, value.term, value.votedFor);
}

void visitFields(auto&& visit, Fields<DecidedOutcome> auto& value)
{
    visit(value.verdict, value.isComplete, value.decider, value.decidedAt);
}

void visitFields(auto&& visit, Fields<LedgerClaim> auto& value)
{
    visit(value.claim, value.outcome);
}

void visitFields(auto&& visit, Fields<LedgerChunk> auto& value)
{
    visit(value.guardUntil, value.latest, value.claims);
}

void visitFields(auto&& visit, Fields<ConfigurationChange> auto& value)
{
    visit(value.version, value.publish);
}

void visitFields(auto&& visit, Fields<ConfigurationChunk> auto& value)
{
    visit(value.configuration, value.history);
}

void visitFields(auto&& visit, Fields<Snapshot> auto& value)
{
    visit(value.lastIndex, value.lastTerm, value.epoch, value.members, value.chunks);
}

// LogMessages.h

void visitFields(auto&& visit, Fields<LogHeader> auto& value)
{
    visit(value.group, value.epoch, value.from, value.to, value.term);
}

void visitFields(auto&& visit, Fields<VoteRequest> auto& value)
{
    visit(value.header, value.isPreVote, value.lastIndex, value.lastTerm);
}

void visitFields(auto&& visit, Fields<VoteReply> auto& value)
{
    visit(value.header, value.isPreVote, value.askedTerm, value.isGranted);
}

void visitFields(auto&& visit, Fields<MemberSilence> auto& value)
{
    visit(value.member, value.duration);
}

void visitFields(auto&& visit, Fields<AppendRequest> auto& value)
{
    visit(value.header, value.previousIndex, value.previousTerm, value.entries, value.commit, value.round, value.silentVoters);
}

void visitFields(auto&& visit, Fields<AppendReply> auto& value)
{
    visit(value.header, value.isAccepted, value.lastIndex, value.round, value.nextChunk);
}

void visitFields(auto&& visit, Fields<SnapshotRequest> auto& value)
{
    visit(value.header, value.lastIndex, value.lastTerm, value.members, value.chunk, value.chunks, value.content, value.round);
}

void visitFields(auto&& visit, Fields<ProposalId> auto& value)
{
    visit(value.proposer, value.number);
}

void visitFields(auto&& visit, Fields<ProposalForward> auto& value)
{
    visit(value.header, value.proposal, value.command);
}

void visitFields(auto&& visit, Fields<JoinRequest> auto& value)
{
    visit(value.group, value.member);
}

void visitFields(auto&& visit, Fields<JoinReply> auto& value)
{
    visit(value.group, value.to, value.member, value.hasGroup, value.isVoter);
}

void visitFields(auto&& visit, Fields<ConfigurationQuery> auto& value)
{
    visit(value.since);
}

void visitFields(auto&& visit, Fields<ConfigurationDelta> auto& value)
{
    visit(value.since, value.whole, value.changes);
}

} // namespace trefoilwing
