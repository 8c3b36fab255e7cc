#include "Daemon/ControlRole.h"

#include "Daemon/LedgerGroups.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace trefoilwing {

ControlRole::ControlRole(const DaemonSettings& settings, DaemonRun self, ControlPorts ports, ConfigurationListener listener)
    : settings_(settings)
    , self_(std::move(self))
    , ports_(ports)
    , replica_(ports.peers, ports.clock, std::move(listener))
{
    for (const DataCentreId& dataCentre : dataCentres(settings)) {
        const std::vector<DaemonId> members = ledgerMembers(settings, dataCentre);
        if (std::find(members.begin(), members.end(), self_.daemon) != members.end())
            addLedger(dataCentre);
    }
    if (settings.isKeeper)
        addKeeper();
}

ControlRole::~ControlRole()
{
    stop();
}

void ControlRole::start()
{
    for (const auto& pump : groupPumps_)
        threads_.push_back(std::make_unique<PumpThread>(*pump, ports_.clock));
}

void ControlRole::publish(PublishRecord record, ReplicatedConfiguration::PublishCallback done)
{
    if (keeper_)
        return keeper_->publish(std::move(record), std::move(done));
    done(Error { ErrorCode::Unavailable, "This daemon keeps no configuration; publish at a keeper.", Verdict::NotRun });
}

void ControlRole::receive(const DaemonId&, const LogMessage& message, const GroupId& group)
{
    const auto found = groups_.find(group);
    if (found != groups_.end())
        found->second->receive(message);
}

void ControlRole::receive(const DaemonId& from, const ConfigurationQuery& query)
{
    replica_.receive(from, query);
}

void ControlRole::receive(const DaemonId&, const ConfigurationDelta& delta)
{
    replica_.receive(delta);
}

void ControlRole::versionHeard(const DaemonId& daemon, ConfigurationVersion version)
{
    replica_.versionHeard(daemon, version);
}

void ControlRole::daemonGone(const DaemonRun& run)
{
    for (ReplicatedLedger* ledger : ledgers_)
        ledger->ownerGone(run);
}

Result<Done> ControlRole::removeMember(const GroupId& id, const DaemonId& daemon)
{
    const auto group = groups_.find(id);
    if (group == groups_.end())
        return Error { ErrorCode::Unavailable, absl::StrCat("This daemon is no member of group ", id.value(), "; ask one of its members."), Verdict::NotRun };
    if (!group->second->removeDaemon(daemon))
        return Error { ErrorCode::Unavailable, "This daemon doesn't lead the group, or another change is under way; see status for the leader.", Verdict::NotRun };
    return Done {};
}

std::map<GroupId, GroupState> ControlRole::status() const
{
    std::map<GroupId, GroupState> status;
    for (const auto& [id, group] : groups_)
        status.emplace(id, group->status());
    return status;
}

void ControlRole::stop()
{
    for (const auto& thread : threads_)
        thread->stop();
}

void ControlRole::addLedger(const DataCentreId& dataCentre)
{
    const GroupId group = ledgerGroup(dataCentre);
    auto ledger = std::make_unique<ReplicatedLedger>(self_, logSettings(group, ledgerMembers(settings_, dataCentre)), JournalContent {}, groupPorts());
    ledgers_.push_back(ledger.get());
    if (dataCentre == settings_.dataCentre)
        ownLedger_ = ledger.get();
    add(group, std::move(ledger));
}

void ControlRole::addKeeper()
{
    const GroupId group = configurationGroup();
    auto keeper = std::make_unique<ReplicatedConfiguration>(logSettings(group, configurationMembers(settings_)), JournalContent {}, groupPorts(),
        [this](const ConfigurationDelta& delta) { replica_.receive(delta); });
    keeper_ = keeper.get();
    add(group, std::move(keeper));
}

void ControlRole::add(const GroupId& id, std::unique_ptr<ReplicatedGroup> group)
{
    groupPumps_.push_back(std::make_unique<GroupPump>(*group));
    groups_.emplace(id, std::move(group));
}

LogSettings ControlRole::logSettings(const GroupId& group, std::vector<DaemonId> members) const
{
    LogSettings settings;
    settings.group = group;
    settings.self = Member { MemberId { self_.daemon, self_.incarnation }, false, false, false };
    settings.daemons = std::move(members);
    return settings;
}

GroupPorts ControlRole::groupPorts()
{
    randoms_.push_back(std::make_unique<SeededRandom>(SeededRandom::freshSeed()));
    return GroupPorts { ports_.peers, ports_.clock, *randoms_.back(), nullptr };
}

} // namespace trefoilwing
