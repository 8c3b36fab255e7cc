#pragma once

#include "Model/MembershipMessages.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <vector>

namespace trefoilwing {

/// Numbers the announcements that this entry hears from minions themselves, for its vouches.
///
/// Numbers are given once and in order, so that a peer that knows the roster up to a number needs
/// only the keys after it.
class MinionRoster {
public:
    explicit MinionRoster(RosterId first);

    /// Takes a renewal that goes into the next vouch.
    void hear(AnnouncementKey);

    /// Takes the end of an announcement: its minion has gone, or announces something else.
    void forget(AnnouncementKey);

    /// Drops the renewals that wait for the next vouch.
    void forgetHeard() { heard_.clear(); }

    /// @return a vouch for what was heard since the last one.
    MinionLeaseRenewal takeVouch();

    /// @return the keys that were numbered since the last call; all of them after a renumbering.
    RosterPart takeNewPart();

    /// @return the keys from a number on. Where the asker knows another roster, all of this one.
    RosterPart partFor(const RosterQuery&) const;

private:
    bool isSparse() const;
    void renumber();

    RosterId id_;
    /// By number. Forgotten ones stay until the roster is renumbered.
    std::vector<AnnouncementKey> keys_;
    absl::flat_hash_map<AnnouncementKey, uint32_t> numbers_;
    std::vector<uint32_t> heard_;
    uint32_t published_ = 0;
};

} // namespace trefoilwing
