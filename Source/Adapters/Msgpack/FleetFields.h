#pragma once

#include "Adapters/Msgpack/FieldList.h"
#include "Adapters/Msgpack/ModelFields.h"
#include "Model/FleetMessages.h"

namespace trefoilwing {

template <>
inline constexpr JobEnd lastEnumerator<JobEnd> = JobEnd::GivenUp;

void visitFields(auto&& visit, Fields<Room> auto& value)
{
    visit(value.milliCores, value.memoryMb, value.accelerators);
}

void visitFields(auto&& visit, Fields<RoutingDocument> auto& value)
{
    visit(value.version, value.text);
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

void visitFields(auto&& visit, Fields<MinionLife> auto& value)
{
    visit(value.minion, value.birth);
}

void visitFields(auto&& visit, Fields<MinionReport> auto& value)
{
    visit(value.life, value.sequence, value.pool, value.endpoint, value.capacity, value.labels, value.state);
}

void visitFields(auto&& visit, Fields<CellGrant> auto& value)
{
    visit(value.cell, value.owner, value.epoch);
}

void visitFields(auto&& visit, Fields<DaemonPulse> auto& value)
{
    visit(value.run, value.dataCentre, value.isEntry, value.isDraining, value.routing, value.newsFrom, value.newsNumber, value.milliCores);
}

void visitFields(auto&& visit, Fields<DaemonNote> auto& value)
{
    visit(value.run, value.dataCentre, value.isEntry, value.isDraining);
}

void visitFields(auto&& visit, Fields<FleetNews> auto& value)
{
    visit(value.keeper, value.isLeading, value.number, value.since, value.routing, value.grants, value.minions, value.gone, value.daemons);
}

void visitFields(auto&& visit, Fields<CellLoad> auto& value)
{
    visit(value.grant, value.totalMilliCores, value.freeMilliCores, value.queuedTasks, value.endsPerSecond);
}

void visitFields(auto&& visit, Fields<JobOffer> auto& value)
{
    visit(value.cell, value.job, value.requestId, value.life, value.route, value.firstTask, value.taskCount, value.need, value.estimate, value.spec, value.untilLate, value.untilGivenUp, value.priority, value.maxAttempts, value.isTakeover);
}

void visitFields(auto&& visit, Fields<JobCancel> auto& value)
{
    visit(value.cell, value.job, value.life);
}

void visitFields(auto&& visit, Fields<JobEnded> auto& value)
{
    visit(value.job, value.life, value.end, value.retryAfter, value.queued);
}

} // namespace trefoilwing
