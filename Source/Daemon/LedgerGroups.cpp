#include "Daemon/LedgerGroups.h"

#include <absl/strings/str_cat.h>

#include <set>

namespace trefoilwing {

namespace {

    constexpr size_t fewestLedgerMembers = 3;

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
    for (const PeerSettings& peer : settings.peers) {
        if (peer.dataCentre == dataCentre)
            members.push_back(peer.daemon);
    }
    for (const PeerSettings& peer : settings.peers) {
        if (members.size() < fewestLedgerMembers && peer.dataCentre != dataCentre && peer.isKeeper)
            members.push_back(peer.daemon);
    }
    return members;
}

std::vector<DataCentreId> dataCentres(const DaemonSettings& settings)
{
    std::set<DataCentreId> names;
    for (const PeerSettings& peer : settings.peers)
        names.insert(peer.dataCentre);
    return { names.begin(), names.end() };
}

} // namespace trefoilwing
