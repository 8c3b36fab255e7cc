#include "Control/PeerRoster.h"

namespace trefoilwing {

void PeerRoster::learn(const RosterPart& part)
{
    if (part.roster != id_) {
        if (part.first != 0)
            return;
        id_ = part.roster;
        keys_.clear();
    }
    if (part.first > keys_.size())
        return;
    const size_t known = keys_.size() - part.first;
    if (known < part.keys.size())
        keys_.insert(keys_.end(), part.keys.begin() + static_cast<ptrdiff_t>(known), part.keys.end());
}

std::vector<AnnouncementKey> PeerRoster::keysOf(const MinionLeaseRenewal& vouch) const
{
    std::vector<AnnouncementKey> keys;
    if (vouch.roster != id_)
        return keys;
    uint64_t number = 0;
    for (const uint32_t gap : vouch.gaps) {
        number += gap;
        if (number >= keys_.size())
            break;
        keys.push_back(keys_[number]);
        ++number;
    }
    return keys;
}

std::optional<RosterQuery> PeerRoster::missingFor(const MinionLeaseRenewal& vouch) const
{
    if (vouch.roster != id_)
        return RosterQuery { vouch.roster, 0 };
    if (vouch.size > keys_.size())
        return RosterQuery { vouch.roster, static_cast<uint32_t>(keys_.size()) };
    return std::nullopt;
}

} // namespace trefoilwing
