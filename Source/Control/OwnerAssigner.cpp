#include "Control/OwnerAssigner.h"

#include <algorithm>

namespace trefoilwing {

namespace {

    /// A new leader hears all daemons before it judges any.
    constexpr absl::Duration leaderGrace = absl::Milliseconds(1000);

    /// When a cut heals, a data centre's daemons are heard one after the other: a broken connection is made
    /// again within 800 ms (handshake and backoff), and signs of life come every 250 ms.
    constexpr absl::Duration returnTime = absl::Milliseconds(1200);

    /// As a cut begins, the last signs of life from behind it come within 250 to 500 ms. An owner is gone only
    /// if others of its data centre are heard for longer.
    constexpr absl::Duration outlivedBy = absl::Milliseconds(600);

    /// A grant that hasn't been applied is proposed again after this long.
    constexpr absl::Duration proposalRepeat = absl::Milliseconds(1000);

    /// An entry that has been heard for so long may take its own data centre's cells back from another one's
    /// entry. Longer than the time in which two owners may not take turns.
    constexpr absl::Duration settledAfter = absl::Seconds(4);

} // namespace

bool OwnerAssigner::isHeard(const HeardDaemon& daemon, absl::Time now) const
{
    return now - daemon.heardAt < daemonSilence;
}

bool OwnerAssigner::isDataCentreInTouch(const FleetRegistry& registry, const DataCentreId& dataCentre, absl::Time since, absl::Time now) const
{
    return std::any_of(registry.daemons().begin(), registry.daemons().end(), [&](const auto& entry) {
        const HeardDaemon& daemon = entry.second;
        return daemon.note.dataCentre == dataCentre && daemon.heardAt >= since && isHeard(daemon, now) && now >= daemon.steadySince + returnTime;
    });
}

const HeardDaemon* OwnerAssigner::chooseOwner(const FleetRegistry& registry, const CellId& cell, const std::map<CellId, CellGrant>& grants, absl::Time now) const
{
    const HeardDaemon* best = nullptr;
    auto owned = [&](const HeardDaemon& daemon) {
        return std::count_if(grants.begin(), grants.end(), [&](const auto& grant) { return grant.second.owner == daemon.note.run; });
    };
    auto isBetter = [&](const HeardDaemon& a, const HeardDaemon& b) {
        const bool isAtHome = a.note.dataCentre == cell.dataCentre;
        if (isAtHome != (b.note.dataCentre == cell.dataCentre))
            return isAtHome;
        if (owned(a) != owned(b))
            return owned(a) < owned(b);
        return a.since < b.since;
    };
    for (const auto& [id, daemon] : registry.daemons()) {
        if (daemon.note.isEntry && !daemon.note.isDraining && isHeard(daemon, now) && (!best || isBetter(daemon, *best)))
            best = &daemon;
    }
    return best;
}

std::vector<GrantRecord> OwnerAssigner::decide(const FleetRegistry& registry, const std::map<CellId, CellGrant>& grants, absl::Time now)
{
    std::vector<GrantRecord> proposals;
    for (const CellId& cell : registry.cells()) {
        const auto grant = grants.find(cell);
        const bool isGranted = grant != grants.end();
        if (const auto proposed = proposedAt_.find(cell); proposed != proposedAt_.end() && now < proposed->second + proposalRepeat)
            continue;
        const HeardDaemon* candidate = chooseOwner(registry, cell, grants, now);
        if (!candidate)
            continue;
        if (isGranted) {
            const auto owner = registry.daemons().find(grant->second.owner.daemon);
            const bool isOwnerHeard = owner != registry.daemons().end() && isHeard(owner->second, now)
                && owner->second.note.run == grant->second.owner && !owner->second.note.isDraining;
            const bool isMoveHome = isOwnerHeard && owner->second.note.dataCentre != cell.dataCentre
                && candidate->note.dataCentre == cell.dataCentre && now > candidate->since + settledAfter;
            if (isOwnerHeard && !isMoveHome)
                continue;
            // An owner that is heard under another run, or says that it leaves, is gone for certain.
            const bool isSurelyGone = owner != registry.daemons().end() && isHeard(owner->second, now)
                && (owner->second.note.run != grant->second.owner || owner->second.note.isDraining);
            if (!isSurelyGone && now < leadingSince_ + leaderGrace)
                continue;
            const absl::Time lastSign = owner == registry.daemons().end() ? absl::InfinitePast() : owner->second.heardAt;
            if (!isOwnerHeard && !isSurelyGone && !isDataCentreInTouch(registry, cell.dataCentre, lastSign + outlivedBy, now))
                continue;
        }
        proposedAt_[cell] = now;
        proposals.push_back({ cell, candidate->note.run, isGranted ? grant->second.epoch : OwnerEpoch(0) });
    }
    return proposals;
}

} // namespace trefoilwing
