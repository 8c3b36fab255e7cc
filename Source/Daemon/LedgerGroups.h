#pragma once

#include "Model/Settings.h"

#include <vector>

namespace trefoilwing {

/// @return the group that keeps the configuration.
GroupId configurationGroup();

/// @return the group that keeps the ledger of a data centre's submissions.
GroupId ledgerGroup(const DataCentreId&);

/// @return the daemons that vote on the configuration: the keepers of all data centres.
std::vector<DaemonId> configurationMembers(const DaemonSettings&);

/// @return the daemons that keep a data centre's ledger: its own entries and keepers, and keepers of
///     other data centres where those are fewer than three or none of them has a disk.
std::vector<DaemonId> ledgerMembers(const DaemonSettings&, const DataCentreId&);

/// @return the data centres whose ledgers this daemon helps to keep, in order.
std::vector<DataCentreId> ledgersOf(const DaemonSettings&);

/// @return all groups that this daemon is a member of.
std::vector<GroupId> groupsOf(const DaemonSettings&);

} // namespace trefoilwing
