#include "Dispatch/Broker/SlotTable.h"

namespace trefoilwing::broker {

namespace {

    /// Busy slots of a minion's first announcement that no entry accounts for are considered free after this time.
    constexpr absl::Duration initialUnaccountedTimeout = absl::Seconds(10);

    constexpr absl::Duration stepsRefreshPeriod = absl::Milliseconds(100);

    /// A minion above this share of faults ranks as if it were slower by the penalty factor, since ejection is limited.
    constexpr double faultyThreshold = 0.5;
    constexpr double faultPenalty = 20;

    /// Maximum number of speed steps of a pool.
    constexpr size_t maxSteps = 16;

    bool ranksBefore(const Minion* a, const Minion* b)
    {
        return a->rank != b->rank ? a->rank < b->rank : a->id < b->id;
    }

} // namespace

MinionPool& SlotTable::poolFor(const Resources& needs, absl::Time now)
{
    std::unique_ptr<MinionPool>& pool = pools_[needs];
    if (!pool) {
        pool = std::make_unique<MinionPool>();
        pool->needs = needs;
        pool->emptySince = now;
        for (auto& [id, minion] : minions_) {
            if (!minion->isPresent || !meets(minion->resources, needs))
                continue;
            removeFromIndex(*minion);
            minion->pools.push_back(pool.get());
            pool->members.push_back(minion.get());
            addToIndex(*minion);
        }
    }
    return *pool;
}

void SlotTable::announce(const MinionAnnouncement& announcement, absl::Time now)
{
    Minion& known = minion(announcement.minion);
    const bool isNewIncarnation = announcement.incarnation > known.incarnation;
    if (announcement.incarnation < known.incarnation
        || (!isNewIncarnation && known.isPresent && announcement.sequence < known.announcementSequence))
        return;
    removeFromIndex(known);
    const bool isFirst = !known.isPresent;
    if (isFirst || known.resources != announcement.resources) {
        leavePools(known, now);
        known.resources = announcement.resources;
        known.isPresent = true;
        joinPools(known);
    }
    if (isNewIncarnation)
        known.health = {};
    known.incarnation = announcement.incarnation;
    known.announcementSequence = announcement.sequence;
    known.state = announcement.state;
    totalSlots_ += announcement.slots.value();
    totalSlots_ -= known.slots;
    known.slots = announcement.slots.value();
    const uint32_t busySlots = announcement.busySlots.value();
    if (isFirst) {
        addUnaccounted(known, busySlots > known.granted ? busySlots - known.granted : 0, now + initialUnaccountedTimeout);
    } else {
        reconcile(known, busySlots);
    }
    known.minGranted = known.granted;
    addToIndex(known);
}

void SlotTable::reconcile(Minion& minion, uint32_t busySlots)
{
    // The announcement may predate recent grants. Only busy slots above the minimum granted since the last announcement
    // can be unaccounted.
    const uint32_t others = busySlots > minion.minGranted ? busySlots - minion.minGranted : 0;
    minion.unaccounted = std::min(minion.unaccounted, others);
}

void SlotTable::remove(const MinionId& id, absl::Time now)
{
    Minion* known = find(id);
    if (!known || !known->isPresent)
        return;
    removeFromIndex(*known);
    leavePools(*known, now);
    known->isPresent = false;
    known->unaccounted = 0;
    totalSlots_ -= known->slots;
    known->slots = 0;
    // A minion with granted slots is erased by a later call, once all its slots have been reported.
    absl::erase_if(minions_, [](const auto& each) { return !each.second->isPresent && each.second->granted == 0; });
}

Minion& SlotTable::minion(const MinionId& id)
{
    std::unique_ptr<Minion>& known = minions_[id];
    if (!known) {
        known = std::make_unique<Minion>();
        known->id = id;
    }
    return *known;
}

Minion* SlotTable::find(const MinionId& id)
{
    auto known = minions_.find(id);
    return known == minions_.end() ? nullptr : known->second.get();
}

void SlotTable::grant(Minion& minion, uint32_t slots)
{
    removeFromIndex(minion);
    minion.granted += slots;
    addToIndex(minion);
}

void SlotTable::release(Minion& minion, uint32_t slots)
{
    removeFromIndex(minion);
    minion.granted -= std::min(minion.granted, slots);
    minion.minGranted = std::min(minion.minGranted, minion.granted);
    addToIndex(minion);
}

void SlotTable::claimUnaccounted(Minion& minion, uint32_t slots)
{
    removeFromIndex(minion);
    minion.unaccounted -= std::min(minion.unaccounted, slots);
    minion.granted += slots;
    addToIndex(minion);
}

void SlotTable::markUnaccounted(Minion& minion, uint32_t slots, absl::Time until)
{
    removeFromIndex(minion);
    minion.granted -= std::min(minion.granted, slots);
    minion.minGranted = std::min(minion.minGranted, minion.granted);
    addUnaccounted(minion, slots, until);
    addToIndex(minion);
}

void SlotTable::addUnaccounted(Minion& minion, uint32_t slots, absl::Time until)
{
    if (slots == 0)
        return;
    minion.unaccountedUntil = minion.unaccounted == 0 ? until : std::max(minion.unaccountedUntil, until);
    minion.unaccounted += slots;
    nextExpiry_ = std::min(nextExpiry_, minion.unaccountedUntil);
}

void SlotTable::markBusy(Minion& minion, absl::Time until)
{
    markUnaccounted(minion, 1, until);
}

void SlotTable::markLeaving(Minion& minion)
{
    removeFromIndex(minion);
    minion.state = MinionState::Leaving;
    addToIndex(minion);
}

void SlotTable::changeHealth(Minion& minion, HealthState state, absl::Time probedAt)
{
    removeFromIndex(minion);
    minion.health.state = state;
    minion.health.probedAt = probedAt;
    nextExpiry_ = std::min(nextExpiry_, probedAt);
    addToIndex(minion);
}

SlotTable::HealthSummary SlotTable::summarizeHealth() const
{
    HealthSummary summary;
    for (const auto& [id, minion] : minions_) {
        if (!minion->isPresent)
            continue;
        ++summary.minions;
        summary.ejected += minion->health.state != HealthState::Serving;
        summary.faultShares += minion->health.faultShare;
    }
    return summary;
}

void SlotTable::expire(absl::Time now)
{
    if (now < nextExpiry_)
        return;
    nextExpiry_ = absl::InfiniteFuture();
    for (auto& [id, minion] : minions_) {
        if (minion->unaccounted > 0 && minion->unaccountedUntil <= now) {
            removeFromIndex(*minion);
            minion->unaccounted = 0;
            addToIndex(*minion);
        }
        if (minion->health.probedAt <= now)
            changeHealth(*minion, HealthState::Probing, absl::InfiniteFuture());
        if (minion->unaccounted > 0)
            nextExpiry_ = std::min(nextExpiry_, minion->unaccountedUntil);
        nextExpiry_ = std::min(nextExpiry_, minion->health.probedAt);
    }
}

void SlotTable::refreshSteps(absl::Time now)
{
    if (now < stepsRefreshed_ + stepsRefreshPeriod)
        return;
    stepsRefreshed_ = now;
    for (auto& [needs, pool] : pools_)
        refreshSteps(*pool);
    capacity_ = 0;
    for (const auto& [id, minion] : minions_) {
        if (minion->isPresent && minion->state == MinionState::Serving && minion->health.state == HealthState::Serving)
            capacity_ += minion->slots / minion->slowness;
    }
}

void SlotTable::refreshSteps(MinionPool& pool)
{
    std::vector<const Minion*> serving;
    for (const Minion* minion : pool.members) {
        if (minion->state == MinionState::Serving && minion->health.state == HealthState::Serving)
            serving.push_back(minion);
    }
    std::sort(serving.begin(), serving.end(), [](const Minion* a, const Minion* b) { return a->slowness < b->slowness; });
    const size_t stride = (serving.size() + maxSteps - 1) / maxSteps;
    pool.steps.clear();
    double completionRate = 0;
    for (size_t i = 0; i < serving.size(); ++i) {
        completionRate += serving[i]->slots / serving[i]->slowness;
        if ((i + 1) % stride == 0 || i + 1 == serving.size())
            pool.steps.push_back({ serving[i]->slowness, completionRate });
    }
}

void SlotTable::reindex(Minion& minion)
{
    removeFromIndex(minion);
    addToIndex(minion);
}

void SlotTable::addToIndex(Minion& minion)
{
    const uint32_t free = minion.freeSlots();
    if (free == 0)
        return;
    freeSlots_ += free;
    // A probed minion isn't penalized, or it would get no probe while other minions are free.
    const bool isFaulty = minion.health.state == HealthState::Serving && minion.health.faultShare > faultyThreshold;
    minion.rank = isFaulty ? minion.slowness * faultPenalty : minion.slowness;
    minion.rankedSlowness = minion.slowness;
    minion.isIndexedAsFree = true;
    for (MinionPool* pool : minion.pools)
        pool->free.insert(std::lower_bound(pool->free.begin(), pool->free.end(), &minion, ranksBefore), &minion);
}

void SlotTable::removeFromIndex(Minion& minion)
{
    if (!minion.isIndexedAsFree)
        return;
    freeSlots_ -= minion.freeSlots();
    minion.isIndexedAsFree = false;
    for (MinionPool* pool : minion.pools)
        pool->free.erase(std::lower_bound(pool->free.begin(), pool->free.end(), &minion, ranksBefore));
}

void SlotTable::joinPools(Minion& minion)
{
    for (auto& [needs, pool] : pools_) {
        if (!meets(minion.resources, needs))
            continue;
        minion.pools.push_back(pool.get());
        pool->members.push_back(&minion);
    }
}

void SlotTable::leavePools(Minion& minion, absl::Time now)
{
    for (MinionPool* pool : minion.pools) {
        std::erase(pool->members, &minion);
        if (pool->members.empty())
            pool->emptySince = now;
    }
    minion.pools.clear();
}

bool SlotTable::meets(const Resources& offered, const Resources& needs)
{
    return std::all_of(needs.begin(), needs.end(), [&](const auto& need) {
        auto offer = offered.find(need.first);
        return need.second == 0 || (offer != offered.end() && offer->second >= need.second);
    });
}

} // namespace trefoilwing::broker
