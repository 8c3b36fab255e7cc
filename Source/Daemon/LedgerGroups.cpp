#include "Daemon/LedgerGroups.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>

namespace trefoilwing {

namespace {

    constexpr size_t minLedgerMembers = 3;

} // namespace

GroupId configurationGroup()
{
    return GroupId("configuration");
}

GroupId ledgerGroup(const DataCentreId& dataCentre)
{
    return GroupId(absl::StrCat("ledger/", dataCentre.value()));
}

std::vector<DaemonId> configurationMembers(const DaemonSettings& settings)
{
    std::vector<DaemonId> members;
    for (const PeerSettings& peer : settings.peers) {
        if (peer.isKeeper)
            members.push_back(peer.daemon);
    }
    return members;
}

std::vector<DaemonId> ledgerMembers(const DaemonSettings& settings, const DataCentreId& dataCentre)
{
    std::vector<DaemonId> members;
    bool hasDisk = false;
    for (const PeerSettings& peer : settings.peers) {
        if (peer.dataCentre != dataCentre)
            continue;
        members.push_back(peer.daemon);
        hasDisk = hasDisk || peer.isKeeper;
    }
    for (const PeerSettings& peer : settings.peers) {
        const bool isWanted = members.size() < minLedgerMembers || !hasDisk;
        if (!isWanted || peer.dataCentre == dataCentre || !peer.isKeeper)
            continue;
        members.push_back(peer.daemon);
        hasDisk = true;
    }
    return members;
}

std::vector<DataCentreId> ledgersOf(const DaemonSettings& settings)
{
    std::set<DataCentreId> all;
    for (const PeerSettings& peer : settings.peers)
        all.insert(peer.dataCentre);
    std::vector<DataCentreId> kept;
    for (const DataCentreId& dataCentre : all) {
        const std::vector<DaemonId> members = ledgerMembers(settings, dataCentre);
        if (std::find(members.begin(), members.end(), settings.daemon) != members.end())
            kept.push_back(dataCentre);
    }
    return kept;
}

std::vector<GroupId> groupsOf(const DaemonSettings& settings)
{
    std::vector<GroupId> groups;
    for (const DataCentreId& dataCentre : ledgersOf(settings))
        groups.push_back(ledgerGroup(dataCentre));
    if (settings.isKeeper)
        groups.push_back(configurationGroup());
    return groups;
}

} // namespace trefoilwing
