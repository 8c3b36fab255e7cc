#pragma once

#include "Model/Settings.h"

#include <vector>

namespace trefoilwing {

/// @return the group that stores the configuration.
GroupId configurationGroup();

/// @return the group that stores the ledger of a data centre's submissions.
GroupId ledgerGroup(const DataCentreId&);

/// @return the members of the configuration's group: the keepers of all data centres.
std::vector<DaemonId> configurationMembers(const DaemonSettings&);

/// @return the members of a ledger's group: all daemons of the data centre, and keepers of other data centres as
///     long as the members are fewer than three or none of them has a disk.
std::vector<DaemonId> ledgerMembers(const DaemonSettings&, const DataCentreId&);

/// @return the data centres whose ledger groups this daemon is a member of, sorted.
std::vector<DataCentreId> ledgersOf(const DaemonSettings&);

/// @return all replicated groups that this daemon is a member of.
std::vector<GroupId> groupsOf(const DaemonSettings&);

} // namespace trefoilwing
