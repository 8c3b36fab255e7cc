#pragma once

#include "Model/MembershipMessages.h"

#include <optional>
#include <vector>

namespace trefoilwing {

/// This entry's copy of the roster (numbering of announcements) that a peer uses in its renewal messages.
class PeerRoster {
public:
    /// Adds a part of the peer's roster. A part that would leave a gap is ignored.
    void learn(const RosterPart&);

    /// @return the keys for the message's numbers, up to the first unknown one.
    std::vector<AnnouncementKey> keysOf(const MinionLeaseRenewal&) const;

    /// @return the query to send to the peer if the message uses numbers that aren't known.
    std::optional<RosterQuery> missingFor(const MinionLeaseRenewal&) const;

private:
    RosterId id_;
    std::vector<AnnouncementKey> keys_;
};

} // namespace trefoilwing
