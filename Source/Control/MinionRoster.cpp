#include "Control/MinionRoster.h"

#include <algorithm>

namespace trefoilwing {

namespace {

    /// Number of unused numbers below which renumbering the roster isn't worth it.
    constexpr size_t minUnusedNumbers = 64;

} // namespace

MinionRoster::MinionRoster(RosterId first)
    : id_(first)
{
}

void MinionRoster::addRenewal(AnnouncementKey key)
{
    const auto [found, isNew] = numbers_.try_emplace(key, static_cast<uint32_t>(keys_.size()));
    if (isNew)
        keys_.push_back(key);
    renewed_.push_back(found->second);
}

void MinionRoster::forget(AnnouncementKey key)
{
    const auto found = numbers_.find(key);
    if (found == numbers_.end())
        return;
    std::erase(renewed_, found->second);
    numbers_.erase(found);
}

MinionLeaseRenewal MinionRoster::takeRenewal()
{
    std::sort(renewed_.begin(), renewed_.end());
    MinionLeaseRenewal renewal { id_, static_cast<uint32_t>(keys_.size()), {} };
    uint32_t next = 0;
    for (const uint32_t number : renewed_) {
        // A minion may announce itself more than once between two renewal messages.
        if (number < next)
            continue;
        renewal.gaps.push_back(number - next);
        next = number + 1;
    }
    renewed_.clear();
    return renewal;
}

RosterPart MinionRoster::takeNewPart()
{
    if (isSparse())
        renumber();
    RosterPart part = partFor({ id_, published_ });
    published_ = static_cast<uint32_t>(keys_.size());
    return part;
}

RosterPart MinionRoster::partFor(const RosterQuery& query) const
{
    const size_t first = query.roster == id_ ? std::min<size_t>(query.first, keys_.size()) : 0;
    return { id_, static_cast<uint32_t>(first), { keys_.begin() + static_cast<ptrdiff_t>(first), keys_.end() } };
}

bool MinionRoster::isSparse() const
{
    return keys_.size() > 2 * numbers_.size() + minUnusedNumbers;
}

void MinionRoster::renumber()
{
    id_ = RosterId(id_.value() + 1);
    published_ = 0;
    std::vector<AnnouncementKey> renewedKeys;
    for (const uint32_t number : renewed_)
        renewedKeys.push_back(keys_[number]);
    std::erase_if(keys_, [this](AnnouncementKey key) { return !numbers_.contains(key); });
    for (size_t i = 0; i < keys_.size(); ++i)
        numbers_[keys_[i]] = static_cast<uint32_t>(i);
    renewed_.clear();
    for (const AnnouncementKey key : renewedKeys)
        renewed_.push_back(numbers_[key]);
}

} // namespace trefoilwing
