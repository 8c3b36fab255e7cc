#pragma once

#include "Adapters/Msgpack/FieldList.h"
#include "Adapters/Msgpack/ModelFields.h"
#include "Model/FleetMessages.h"

namespace trefoilwing {

template <>
inline constexpr JobEnd lastEnumerator<JobEnd> = JobEnd::GivenUp;

template <>
inline constexpr RejectionReason lastEnumerator<RejectionReason> = RejectionReason::NoGrant;

void visitFields(auto&& visit, Fields<ResourceVector> auto& value)
{
    visit(value.milliCores, value.memoryMb, value.accelerators);
}

void visitFields(auto&& visit, Fields<RoutingDocument> auto& value)
{
    visit(value.version, value.text);
}

void visitFields(auto&& visit, Fields<Route> auto& value)
{
    visit(value.name, value.host, value.pathPrefix, value.service, value.timeout, value.latencyTarget, value.stretch, value.priority, value.maxAttempts);
}

void visitFields(auto&& visit, Fields<RoutingTable> auto& value)
{
    visit(value.version, value.routes, value.services);
}

void visitFields(auto&& visit, Fields<PoolId> auto& value)
{
    visit(value.service, value.dataCentre);
}

void visitFields(auto&& visit, Fields<CellPart> auto& value)
{
    visit(value.index, value.count);
}

void visitFields(auto&& visit, Fields<CellId> auto& value)
{
    visit(value.service, value.dataCentre, value.part);
}

void visitFields(auto&& visit, Fields<MinionInstance> auto& value)
{
    visit(value.minion, value.startTime);
}

void visitFields(auto&& visit, Fields<MinionReport> auto& value)
{
    visit(value.instance, value.sequence, value.pool, value.endpoint, value.capacity, value.labels, value.state, value.hasLeft);
}

void visitFields(auto&& visit, Fields<CellGrant> auto& value)
{
    visit(value.cell, value.owner, value.epoch);
}

void visitFields(auto&& visit, Fields<OwnerStamp> auto& value)
{
    visit(value.owner, value.sentAt);
}

void visitFields(auto&& visit, Fields<JobClaims> auto& value)
{
    visit(value.stamp, value.offerNumbers);
}

void visitFields(auto&& visit, Fields<DaemonHeartbeat> auto& value)
{
    visit(value.run, value.dataCentre, value.isEntry, value.isDraining, value.routing, value.ackedKeeper, value.ackedUpdate, value.milliCores, value.claims, value.lacksUpdates);
}

void visitFields(auto&& visit, Fields<DaemonInfo> auto& value)
{
    visit(value.run, value.dataCentre, value.isEntry, value.isDraining);
}

void visitFields(auto&& visit, Fields<Evacuation> auto& value)
{
    visit(value.dataCentre, value.revision, value.isEvacuated);
}

void visitFields(auto&& visit, Fields<FleetUpdate> auto& value)
{
    visit(value.keeper, value.isLeading, value.number, value.since, value.routing, value.grants, value.minions, value.gone, value.daemons, value.changedDaemons, value.lostDaemons, value.newestGrant, value.table, value.evacuations, value.awaitsReports);
}

void visitFields(auto&& visit, Fields<CellLoad> auto& value)
{
    visit(value.grant, value.totalMilliCores, value.freeMilliCores, value.queuedTasks, value.completionsPerSecond, value.sentAt);
}

void visitFields(auto&& visit, Fields<JobOffer> auto& value)
{
    visit(value.cell, value.job, value.requestId, value.offerNumber, value.route, value.firstTask, value.taskCount, value.need, value.estimate, value.spec, value.untilLate, value.untilTimeout, value.priority, value.maxAttempts, value.isTakeover, value.stamp, value.epoch);
}

void visitFields(auto&& visit, Fields<JobCancel> auto& value)
{
    visit(value.cell, value.job, value.offerNumber);
}

void visitFields(auto&& visit, Fields<JobResult> auto& value)
{
    visit(value.job, value.offerNumber, value.end, value.retryAfter, value.queued, value.reason);
}

} // namespace trefoilwing
