#pragma once

#include "Model/Runs.h"

#include <absl/time/time.h>

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace trefoilwing {

/// The reports of minions whose service the routing table doesn't name.
///
/// They may come from another writer, or from the minions of a service that operators add later. They change nothing until
/// a routing table names their service, and are dropped if they aren't repeated. Their number is bounded.
class HeldReports {
public:
    /// Holds a report in place of an earlier one of the same minion and service.
    /// @return whether none was held for them.
    bool add(const MinionReport&, absl::Time now);
    /// Drops the reports of a minion that has left.
    void remove(const MinionId&);
    /// @return the reports of these services that were repeated lately, which are held no longer.
    std::vector<MinionReport> take(const std::set<ServiceId>&, absl::Time now);
    size_t size() const { return reports_.size(); }

private:
    struct Held {
        MinionReport report;
        absl::Time receivedAt;
    };

    void removeExpired(absl::Time now);

    std::map<std::pair<ServiceId, MinionId>, Held> reports_;
};

} // namespace trefoilwing
