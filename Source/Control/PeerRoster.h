#pragma once

#include "Model/MembershipMessages.h"

#include <optional>
#include <vector>

namespace trefoilwing {

/// What this entry knows of the roster that a peer uses in its vouches.
class PeerRoster {
public:
    /// Takes a part of the peer's roster. One that leaves a gap is ignored.
    void learn(const RosterPart&);

    /// @return the keys of the vouch's numbers, as far as they are known.
    std::vector<AnnouncementKey> keysOf(const MinionLeaseRenewal&) const;

    /// @return what to ask the peer for, where the vouch uses numbers that aren't known.
    std::optional<RosterQuery> missingFor(const MinionLeaseRenewal&) const;

private:
    RosterId id_;
    std::vector<AnnouncementKey> keys_;
};

} // namespace trefoilwing
