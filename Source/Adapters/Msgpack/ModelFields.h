#pragma once

// The field lists of the structs in Source/Model that are sent or stored.
//
// To add a struct: write its visitFields overload here, or in a new header in this folder that Codec.h
// includes, and add the struct to Tests/Adapters/Msgpack/CodecTest.cpp. To add an enum: specialise
// lastEnumerator for it. To add an alternative to a variant: append it at the end, since its index is
// its number on the wire.

#include "Adapters/Msgpack/FieldList.h"
#include "Model/Declaration.h"
#include "Model/PeerMessage.h"
#include "Model/Submission.h"

namespace trefoilwing {

template <>
inline constexpr Verdict lastEnumerator<Verdict> = Verdict::MayHaveRun;
template <>
inline constexpr ErrorCode lastEnumerator<ErrorCode> = ErrorCode::Internal;
template <>
inline constexpr SlotEnding lastEnumerator<SlotEnding> = SlotEnding::Returned;
template <>
inline constexpr MinionState lastEnumerator<MinionState> = MinionState::Leaving;
template <>
inline constexpr StartReply lastEnumerator<StartReply> = StartReply::Unknown;
template <>
inline constexpr CancelReply lastEnumerator<CancelReply> = CancelReply::Unknown;
template <>
inline constexpr TaskStatus lastEnumerator<TaskStatus> = TaskStatus::NotRun;

void visitFields(auto&& visit, Fields<Error> auto& value)
{
    visit(value.code, value.message, value.verdict);
}

// Identifiers.h

void visitFields(auto&& visit, Fields<SubmissionKey> auto& value)
{
    visit(value.service, value.backer, value.key);
}

void visitFields(auto&& visit, Fields<TaskId> auto& value)
{
    visit(value.submission, value.index);
}

void visitFields(auto&& visit, Fields<DaemonRun> auto& value)
{
    visit(value.daemon, value.incarnation);
}

// Submission.h

void visitFields(auto&& visit, Fields<TaskSpec> auto& value)
{
    visit(value.kind, value.payload);
}

void visitFields(auto&& visit, Fields<Submission> auto& value)
{
    visit(value.id, value.tasks, value.deadline, value.isIdempotent);
}

void visitFields(auto&& visit, Fields<JobAnswer> auto& value)
{
    visit(value.outputs);
}

// ForwardMessages.h

void visitFields(auto&& visit, Fields<ForwardedSubmission> auto& value)
{
    visit(value.request, value.submission);
}

void visitFields(auto&& visit, Fields<OutcomeQuery> auto& value)
{
    visit(value.request, value.submission, value.maxWait, value.cancels);
}

void visitFields(auto&& visit, Fields<StillRunning> auto&)
{
    visit();
}

void visitFields(auto&& visit, Fields<ForwardReply> auto& value)
{
    visit(value.request, value.state);
}

// BrokerMessages.h

void visitFields(auto&& visit, Fields<JobRef> auto& value)
{
    visit(value.entry, value.job);
}

void visitFields(auto&& visit, Fields<Demand> auto& value)
{
    visit(value.job, value.backer, value.submitted, value.deadline, value.waiting, value.excluded, value.hasStarted);
}

void visitFields(auto&& visit, Fields<SlotReport> auto& value)
{
    visit(value.job, value.minion, value.kind, value.ending, value.runTime);
}

void visitFields(auto&& visit, Fields<Grant> auto& value)
{
    visit(value.job, value.kind, value.minion, value.slots);
}

void visitFields(auto&& visit, Fields<Rejection> auto& value)
{
    visit(value.job, value.error);
}

void visitFields(auto&& visit, Fields<BrokerUpdate> auto& value)
{
    visit(value.service, value.entry, value.stream, value.sequence, value.demands, value.reports, value.held, value.received);
}

void visitFields(auto&& visit, Fields<BrokerDecisions> auto& value)
{
    visit(value.service, value.broker, value.entry, value.stream, value.sequence, value.grants, value.rejections, value.needsFullState);
}

// MinionMessages.h

void visitFields(auto&& visit, Fields<Endpoint> auto& value)
{
    visit(value.address, value.port);
}

void visitFields(auto&& visit, Fields<MinionAnnouncement> auto& value)
{
    visit(value.minion, value.incarnation, value.sequence, value.endpoint, value.service, value.dataCentre,
        value.worker, value.rack, value.slots, value.busySlots, value.resources, value.state);
}

void visitFields(auto&& visit, Fields<TaskStart> auto& value)
{
    visit(value.attempt, value.task, value.kind, value.payload, value.deadline, value.isIdempotent);
}

void visitFields(auto&& visit, Fields<StartAnswer> auto& value)
{
    visit(value.attempt, value.reply);
}

void visitFields(auto&& visit, Fields<CancelOrder> auto& value)
{
    visit(value.attempt, value.task);
}

void visitFields(auto&& visit, Fields<CancelAnswer> auto& value)
{
    visit(value.attempt, value.reply);
}

void visitFields(auto&& visit, Fields<TaskResult> auto& value)
{
    visit(value.attempt, value.task, value.status, value.output, value.runTime);
}

// Declaration.h

void visitFields(auto&& visit, Fields<BackerDeclaration> auto& value)
{
    visit(value.backer, value.quota, value.home);
}

void visitFields(auto&& visit, Fields<TaskKindDeclaration> auto& value)
{
    visit(value.kind, value.expectedRunTime, value.isIdempotent, value.needs);
}

void visitFields(auto&& visit, Fields<ServiceLevelObjective> auto& value)
{
    visit(value.share, value.within);
}

void visitFields(auto&& visit, Fields<ServiceDeclaration> auto& value)
{
    visit(value.service, value.backers, value.kinds, value.defaultDeadline, value.retention, value.maxTasks,
        value.maxPayload, value.objective);
}

void visitFields(auto&& visit, Fields<Configuration> auto& value)
{
    visit(value.version, value.services);
}

} // namespace trefoilwing
