#include "Control/OwnerAssigner.h"

#include <algorithm>

namespace trefoilwing {

namespace {

    /// A daemon that was silent for longer is taken for gone. Signs of life come every 250 ms.
    constexpr absl::Duration silenceLimit = absl::Milliseconds(850);

    /// A new leader hears all daemons before it judges any.
    constexpr absl::Duration leaderGrace = absl::Milliseconds(1000);

    /// A grant that hasn't been applied is proposed again after this long.
    constexpr absl::Duration proposalRepeat = absl::Milliseconds(1000);

    /// An entry that has been heard for so long may take its own data centre's cells back from another one's
    /// entry. Longer than the time in which two owners may not take turns.
    constexpr absl::Duration settledAfter = absl::Seconds(4);

} // namespace

bool OwnerAssigner::isHeard(const HeardDaemon& daemon, absl::Time now) const
{
    return now - daemon.heardAt < silenceLimit;
}

bool OwnerAssigner::isDataCentreHeard(const FleetRegistry& registry, const DataCentreId& dataCentre, absl::Time now) const
{
    return std::any_of(registry.daemons().begin(), registry.daemons().end(), [&](const auto& entry) {
        return entry.second.note.dataCentre == dataCentre && isHeard(entry.second, now);
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
            if (!isOwnerHeard && !isDataCentreHeard(registry, cell.dataCentre, now))
                continue;
        }
        proposedAt_[cell] = now;
        proposals.push_back({ cell, candidate->note.run, isGranted ? grant->second.epoch : OwnerEpoch(0) });
    }
    return proposals;
}

} // namespace trefoilwing
