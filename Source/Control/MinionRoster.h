#pragma once

#include "Model/MembershipMessages.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <vector>

namespace trefoilwing {

/// Numbers the announcements that this entry receives directly from minions, so that its renewal messages
/// can refer to them by number.
///
/// Numbers are assigned in order and never reused, so a peer that knows the roster up to some number needs
/// only the keys after it.
class MinionRoster {
public:
    explicit MinionRoster(RosterId first);

    /// Adds a renewal to the next renewal message.
    void addRenewal(AnnouncementKey);

    /// Removes an announcement whose minion was removed or now announces something else.
    void forget(AnnouncementKey);

    /// Discards the renewals that wait for the next renewal message.
    void clearRenewals() { renewed_.clear(); }

    /// @return a message with the renewals received since the last call.
    MinionLeaseRenewal takeRenewal();

    /// @return the keys that were numbered since the last call; after a renumbering, all keys.
    RosterPart takeNewPart();

    /// @return the keys from the requested number on; all keys if the query refers to another roster.
    RosterPart partFor(const RosterQuery&) const;

private:
    bool isSparse() const;
    void renumber();

    RosterId id_;
    /// The keys by number. Removed announcements stay until the roster is renumbered.
    std::vector<AnnouncementKey> keys_;
    absl::flat_hash_map<AnnouncementKey, uint32_t> numbers_;
    std::vector<uint32_t> renewed_;
    uint32_t published_ = 0;
};

} // namespace trefoilwing
