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

std::vector<AnnouncementKey> PeerRoster::keysOf(const MinionLeaseRenewal& renewal) const
{
    std::vector<AnnouncementKey> keys;
    if (renewal.roster != id_)
        return keys;
    uint64_t number = 0;
    for (const uint32_t gap : renewal.gaps) {
        number += gap;
        if (number >= keys_.size())
            break;
        keys.push_back(keys_[number]);
        ++number;
    }
    return keys;
}

std::optional<RosterQuery> PeerRoster::missingFor(const MinionLeaseRenewal& renewal) const
{
    if (renewal.roster != id_)
        return RosterQuery { renewal.roster, 0 };
    if (renewal.size > keys_.size())
        return RosterQuery { renewal.roster, static_cast<uint32_t>(keys_.size()) };
    return std::nullopt;
}

} // namespace trefoilwing
