#pragma once

#include "Adapters/Msgpack/FieldList.h"
#include "Model/MembershipMessages.h"

namespace trefoilwing {

template <>
inline constexpr DaemonState lastEnumerator<DaemonState> = DaemonState::Left;

void visitFields(auto&& visit, Fields<Heartbeat> auto& value)
{
    visit(value.incarnation, value.sequence, value.echo, value.state, value.configuration);
}

void visitFields(auto&& visit, Fields<RosterPart> auto& value)
{
    visit(value.roster, value.first, value.keys);
}

void visitFields(auto&& visit, Fields<RosterQuery> auto& value)
{
    visit(value.roster, value.first);
}

void visitFields(auto&& visit, Fields<MinionLeaseRenewal> auto& value)
{
    visit(value.roster, value.size, value.gaps);
}

void visitFields(auto&& visit, Fields<MinionQuery> auto& value)
{
    visit(value.keys);
}

void visitFields(auto&& visit, Fields<MinionDelta> auto& value)
{
    visit(value.announcements);
}

} // namespace trefoilwing
