#include "Daemon/ControlRole.h"

#include "Daemon/LedgerGroups.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace trefoilwing {

namespace {

    constexpr absl::Duration groupHeartbeat = absl::Milliseconds(500);
    constexpr absl::Duration groupElectionTimeout = absl::Seconds(2);

} // namespace

ControlRole::ControlRole(const DaemonSettings& settings, DaemonRun self, std::unique_ptr<GroupJournals> journals, ControlPorts ports, ConfigurationListener listener)
    : settings_(settings)
    , self_(std::move(self))
    , ports_(ports)
    , replica_(ports.peers, ports.clock, std::move(listener))
    , journals_(std::move(journals))
{
    for (const DataCentreId& dataCentre : ledgersOf(settings))
        addLedger(dataCentre);
    if (settings.isKeeper)
        addKeeper();
}

ControlRole::~ControlRole()
{
    stop();
}

void ControlRole::start()
{
    for (const auto& [id, group] : groups_) {
        if (DiskJournal* journal = journals_->find(id))
            journal->start(*group);
    }
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

void ControlRole::configurationVersionReceived(const DaemonId& daemon, ConfigurationVersion version)
{
    replica_.versionReceived(daemon, version);
}

void ControlRole::daemonPresumedDead(const DaemonRun& run)
{
    for (ReplicatedLedger* ledger : ledgers_)
        ledger->ownerRemoved(run);
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
    journals_->stop();
}

template <typename Factory>
auto* ControlRole::add(const GroupId& id, const std::vector<DaemonId>& members, absl::Duration claimGuard, const Factory& make)
{
    DiskJournal* journal = journals_->find(id);
    LogSettings settings;
    settings.group = id;
    settings.self = Member { MemberId { self_.daemon, journal ? journal->storage() : self_.incarnation }, false, journal != nullptr, false };
    settings.firstProposal = self_.incarnation.value();
    settings.daemons = members;
    settings.heartbeat = groupHeartbeat;
    settings.electionTimeout = groupElectionTimeout;
    settings.claimGuard = claimGuard;
    randoms_.push_back(std::make_unique<SeededRandom>(SeededRandom::freshSeed()));
    const GroupPorts ports { ports_.peers, ports_.clock, *randoms_.back(), journal };
    auto group = make(std::move(settings), journal ? journal->takeContent() : JournalContent {}, ports);
    auto* added = group.get();
    groupPumps_.push_back(std::make_unique<GroupPump>(*added));
    groups_.emplace(id, std::move(group));
    return added;
}

void ControlRole::addLedger(const DataCentreId& dataCentre)
{
    const auto make = [this](LogSettings settings, JournalContent content, GroupPorts ports) {
        return std::make_unique<ReplicatedLedger>(self_, std::move(settings), std::move(content), ports);
    };
    ReplicatedLedger* ledger = add(ledgerGroup(dataCentre), ledgerMembers(settings_, dataCentre), settings_.claimGuard, make);
    ledgers_.push_back(ledger);
    if (dataCentre == settings_.dataCentre)
        ownLedger_ = ledger;
}

void ControlRole::addKeeper()
{
    const auto make = [this](LogSettings settings, JournalContent content, GroupPorts ports) {
        return std::make_unique<ReplicatedConfiguration>(std::move(settings), std::move(content), ports,
            [this](const ConfigurationDelta& delta) { replica_.receive(delta); });
    };
    keeper_ = add(configurationGroup(), configurationMembers(settings_), absl::ZeroDuration(), make);
}

} // namespace trefoilwing
