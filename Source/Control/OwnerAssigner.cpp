#include "Control/OwnerAssigner.h"

#include <algorithm>

namespace trefoilwing {

namespace {

    /// A new leader hears all daemons before it judges any.
    constexpr absl::Duration leaderGrace = absl::Milliseconds(1000);

    /// When a cut heals, a data centre's daemons are heard one after the other: a broken connection is made
    /// again within 400 ms (handshake and backoff), signs of life come every 250 ms, and either may be lost once.
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

std::optional<GrantReason> OwnerAssigner::reasonToMove(const FleetRegistry& registry, const CellGrant& grant, const HeardDaemon& candidate, absl::Time now) const
{
    const auto found = registry.daemons().find(grant.owner.daemon);
    const HeardDaemon* owner = found == registry.daemons().end() ? nullptr : &found->second;
    if (owner && isHeard(*owner, now)) {
        // What the owner says itself needs no second look.
        if (owner->note.run != grant.owner)
            return GrantReason::OwnerRestarted;
        if (owner->note.isDraining)
            return GrantReason::OwnerDrains;
        const bool isWayHome = owner->note.dataCentre != grant.cell.dataCentre && candidate.note.dataCentre == grant.cell.dataCentre;
        if (isWayHome && now > candidate.since + settledAfter && now >= leadingSince_ + leaderGrace)
            return GrantReason::GoesHome;
        return std::nullopt;
    }
    const absl::Time lastSign = owner ? owner->heardAt : absl::InfinitePast();
    if (now >= leadingSince_ + leaderGrace && isDataCentreInTouch(registry, grant.cell.dataCentre, lastSign + outlivedBy, now))
        return GrantReason::OwnerSilent;
    return std::nullopt;
}

std::vector<GrantProposal> OwnerAssigner::decide(const FleetRegistry& registry, const std::map<CellId, CellGrant>& grants, absl::Time now)
{
    std::vector<GrantProposal> proposals;
    for (const CellId& cell : registry.cells()) {
        if (const auto proposed = proposedAt_.find(cell); proposed != proposedAt_.end() && now < proposed->second + proposalRepeat)
            continue;
        const HeardDaemon* candidate = chooseOwner(registry, cell, grants, now);
        if (!candidate)
            continue;
        GrantProposal proposal { { cell, candidate->note.run, OwnerEpoch(0) }, GrantReason::Unowned, absl::ZeroDuration() };
        if (const auto grant = grants.find(cell); grant != grants.end()) {
            const std::optional<GrantReason> reason = reasonToMove(registry, grant->second, *candidate, now);
            if (!reason)
                continue;
            proposal.record.previous = grant->second.epoch;
            proposal.reason = *reason;
            const auto owner = registry.daemons().find(grant->second.owner.daemon);
            proposal.ownerSilence = owner == registry.daemons().end() ? absl::InfiniteDuration() : now - owner->second.heardAt;
        }
        proposedAt_[cell] = now;
        proposals.push_back(proposal);
    }
    return proposals;
}

} // namespace trefoilwing
