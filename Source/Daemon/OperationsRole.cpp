#include "Daemon/OperationsRole.h"

#include <absl/strings/str_cat.h>

#include <array>
#include <utility>

namespace trefoilwing {

namespace {

    /// Indexed by LogRole.
    constexpr std::array<const char*, 5> roleNames { "joining", "follower", "pre-candidate", "candidate", "leader" };

    GroupStatus groupStatus(const GroupId& id, const GroupState& state)
    {
        GroupStatus status;
        status.group = id;
        status.role = !state.failure.empty() ? "failed" : roleNames.at(static_cast<size_t>(state.role));
        status.term = state.term;
        status.leader = state.leader ? state.leader->daemon : DaemonId();
        status.committed = state.commitIndex;
        for (const Member& member : state.members)
            status.members.push_back({ member.id.daemon, member.isVoter, member.hasDisk });
        return status;
    }

} // namespace

OperationsRole::OperationsRole(const DaemonSettings& settings, MembershipRole& membership, ControlRole& control, EntryRole& entry)
    : settings_(settings)
    , membership_(membership)
    , control_(control)
    , entry_(entry)
{
}

DaemonStatus OperationsRole::status() const
{
    DaemonStatus status;
    status.daemon = settings_.daemon;
    status.incarnation = membership_.self().incarnation;
    status.dataCentre = settings_.dataCentre;
    status.isEntry = settings_.isEntry;
    status.isKeeper = settings_.isKeeper;
    status.isDraining = entry_.submissions().isDraining();
    status.isDrained = status.isDraining && entry_.submissions().openCount() == 0;
    status.configuration = control_.configuration().version();
    status.groups = groups();
    status.minions = membership_.minionCounts();
    status.queues = entry_.queues();
    status.peers = membership_.peers();
    return status;
}

Configuration OperationsRole::configuration() const
{
    return *control_.configuration().current();
}

void OperationsRole::publish(PublishRecord record, std::function<void(Result<ConfigurationVersion>)> done)
{
    control_.publish(std::move(record), std::move(done));
}

void OperationsRole::drain()
{
    entry_.submissions().drain();
    membership_.drain();
}

void OperationsRole::removeMember(const MemberRemoval& removal, std::function<void(Result<Done>)> done)
{
    done(control_.removeMember(removal.group, removal.daemon));
}

std::vector<GroupStatus> OperationsRole::groups() const
{
    std::vector<GroupStatus> groups;
    for (const auto& [id, state] : control_.status())
        groups.push_back(groupStatus(id, state));
    return groups;
}

} // namespace trefoilwing
