#include "Control/OwnerAssigner.h"

#include <algorithm>
#include <cmath>

namespace trefoilwing {

namespace {

    /// Time in which a new leader collects heartbeats from all daemons before it presumes any dead.
    constexpr absl::Duration leaderGrace = absl::Milliseconds(1000);

    /// After a network partition heals, the daemons of a data centre become reachable one after the other: a broken
    /// connection is re-established within 400 ms (handshake and backoff), heartbeats are sent every 250 ms, and
    /// either may be lost once.
    constexpr absl::Duration returnTime = absl::Milliseconds(1200);

    /// When a partition begins, the last heartbeats of the daemons behind it arrive within 250 to 500 ms of each
    /// other. An owner is presumed dead only if other daemons of its data centre stay reachable for longer than that.
    constexpr absl::Duration outlivedBy = absl::Milliseconds(600);

    /// A grant that hasn't been applied is proposed again after this time.
    constexpr absl::Duration proposalRepeat = absl::Milliseconds(1000);

    /// An entry that has been reachable for this long may take over cells of its own data centre from an entry of another
    /// one. It is longer than the time within which a cell must not alternate between two owners.
    constexpr absl::Duration settledAfter = absl::Seconds(4);

    /// Number of minions that an entry with a whole core is given. At the usual 7 to 8 starts a second each, they use
    /// a fifth of the core; the rest is reserved for peaks, which are twice as high, and for the entry's own callers.
    constexpr double minionsPerCore = 200;
    /// Minimum number of minions per cell when a pool is divided; a job of usual width wouldn't fit into a smaller cell.
    constexpr size_t minMinionsPerCell = 8;
    /// A pool is divided only when its cells have more than this multiple of the minions that the strongest entry is
    /// meant to handle, because dividing ends the pool's jobs in progress.
    constexpr double crowdedFactor = 1.5;
    /// Waiting time before the first division of a pool. Minions report every 1.5 s, so by then all minions of a pool
    /// that has just started are known.
    constexpr absl::Duration firstCrowdedTime = absl::Seconds(2);
    /// Waiting time before further divisions, in which strong entries that restart come back.
    constexpr absl::Duration crowdedTime = absl::Seconds(6);

    /// Interval between moves of cells to less loaded entries. They move one at a time, because each is briefly
    /// without an owner.
    constexpr absl::Duration rebalanceInterval = absl::Milliseconds(500);
    /// A cell is moved only if the new owner's load then stays below this fraction of the old owner's load.
    constexpr double rebalanceShare = 0.5;

    size_t cellsOwned(const std::map<CellId, CellGrant>& grants, const HeardDaemon& daemon)
    {
        return static_cast<size_t>(std::count_if(grants.begin(), grants.end(), [&](const auto& grant) { return grant.second.owner == daemon.note.run; }));
    }

    /// @return the load of a daemon with the given number of cells, in cells per core.
    double burden(size_t cells, const HeardDaemon& daemon)
    {
        return static_cast<double>(cells) * defaultMilliCores / daemon.milliCores;
    }

    /// @return the number of cells that the pool is divided into now; 0 if none has been granted yet.
    uint32_t partsInForce(const PoolId& pool, const std::map<CellId, CellGrant>& grants)
    {
        const auto found = std::find_if(grants.begin(), grants.end(), [&](const auto& entry) { return entry.first.pool() == pool; });
        return found == grants.end() ? 0 : found->first.part.count;
    }

    /// @return the number of minions that an entry with this processor is meant to handle.
    double carriedMinions(uint32_t milliCores)
    {
        return minionsPerCore * milliCores / defaultMilliCores;
    }

    /// @param entries the processor capacities of the data centre's entries, in thousandths of a core.
    /// @return the smallest number of equal cells that the entries can handle.
    uint32_t fewestParts(size_t minions, const std::vector<uint32_t>& entries)
    {
        const auto most = static_cast<uint32_t>((minions + minMinionsPerCell - 1) / minMinionsPerCell);
        for (uint32_t parts = 1; parts < most; ++parts) {
            const double size = static_cast<double>(minions) / parts;
            double carried = 0;
            for (const uint32_t milliCores : entries)
                carried += std::floor(carriedMinions(milliCores) / size);
            if (carried >= parts)
                return parts;
        }
        return most;
    }

} // namespace

std::vector<uint32_t> OwnerAssigner::processors(const FleetRegistry& registry, const DataCentreId& dataCentre, absl::Time now) const
{
    std::vector<uint32_t> found;
    for (const auto& [id, daemon] : registry.daemons()) {
        if (daemon.note.isEntry && !daemon.note.isDraining && daemon.note.dataCentre == dataCentre && isHeard(daemon, now))
            found.push_back(daemon.milliCores);
    }
    return found;
}

uint32_t OwnerAssigner::partCount(const FleetRegistry& registry, const PoolId& pool, size_t minions, const std::map<CellId, CellGrant>& grants, absl::Time now)
{
    const uint32_t present = std::max<uint32_t>(1, partsInForce(pool, grants));
    const std::vector<uint32_t> entries = processors(registry, pool.dataCentre, now);
    const auto strongest = std::max_element(entries.begin(), entries.end());
    if (strongest == entries.end() || static_cast<double>(minions) <= present * crowdedFactor * carriedMinions(*strongest)) {
        crowdedSince_.erase(pool);
        return present;
    }
    const absl::Time since = crowdedSince_.try_emplace(pool, now).first->second;
    if (now < since + (present == 1 ? firstCrowdedTime : crowdedTime))
        return present;
    return std::max(present, fewestParts(minions, entries));
}

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
    // An owner that has just restarted keeps its cells. Otherwise, when all daemons restart, the cells would pile up
    // on the entries whose heartbeats arrive first.
    if (const auto grant = grants.find(cell); grant != grants.end()) {
        const auto owner = registry.daemons().find(grant->second.owner.daemon);
        if (owner != registry.daemons().end() && owner->second.note.run != grant->second.owner && owner->second.note.isEntry
            && !owner->second.note.isDraining && owner->second.note.dataCentre == cell.dataCentre && isHeard(owner->second, now))
            return &owner->second;
    }
    const HeardDaemon* best = nullptr;
    auto isBetter = [&](const HeardDaemon& a, const HeardDaemon& b) {
        const bool isAtHome = a.note.dataCentre == cell.dataCentre;
        if (isAtHome != (b.note.dataCentre == cell.dataCentre))
            return isAtHome;
        const double burdenA = burden(cellsOwned(grants, a) + 1, a);
        const double burdenB = burden(cellsOwned(grants, b) + 1, b);
        return burdenA != burdenB ? burdenA < burdenB : a.since < b.since;
    };
    for (const auto& [id, daemon] : registry.daemons()) {
        if (daemon.note.isEntry && !daemon.note.isDraining && isHeard(daemon, now) && (!best || isBetter(daemon, *best)))
            best = &daemon;
    }
    return best;
}

std::optional<GrantReason> OwnerAssigner::reasonToMove(const FleetRegistry& registry, const CellGrant& grant, const HeardDaemon& candidate, const std::map<CellId, CellGrant>& grants, absl::Time now) const
{
    const auto found = registry.daemons().find(grant.owner.daemon);
    const HeardDaemon* owner = found == registry.daemons().end() ? nullptr : &found->second;
    if (owner && isHeard(*owner, now)) {
        // The owner's own heartbeat shows that it has restarted or is draining, so the cell moves without delay.
        if (owner->note.run != grant.owner)
            return GrantReason::OwnerRestarted;
        if (owner->note.isDraining)
            return GrantReason::OwnerDrains;
        const bool isCandidateHome = candidate.note.dataCentre == grant.cell.dataCentre;
        if (!isCandidateHome || now <= candidate.since + settledAfter || now < leadingSince_ + leaderGrace)
            return std::nullopt;
        if (owner->note.dataCentre != grant.cell.dataCentre)
            return GrantReason::GoesHome;
        const bool isFarLighter = burden(cellsOwned(grants, candidate) + 1, candidate) < rebalanceShare * burden(cellsOwned(grants, *owner), *owner);
        if (isFarLighter && now >= rebalancedAt_ + rebalanceInterval)
            return GrantReason::Rebalanced;
        return std::nullopt;
    }
    const absl::Time lastSign = owner ? owner->heardAt : absl::InfinitePast();
    if (now >= leadingSince_ + leaderGrace && isDataCentreInTouch(registry, grant.cell.dataCentre, lastSign + outlivedBy, now))
        return GrantReason::OwnerSilent;
    return std::nullopt;
}

std::optional<GrantProposal> OwnerAssigner::decideCell(const FleetRegistry& registry, const CellId& cell, const std::map<CellId, CellGrant>& grants, absl::Time now) const
{
    const HeardDaemon* candidate = chooseOwner(registry, cell, grants, now);
    if (!candidate)
        return std::nullopt;
    GrantProposal proposal { { cell, candidate->note.run, OwnerEpoch(0) }, GrantReason::Unowned, absl::ZeroDuration() };
    const auto grant = grants.find(cell);
    if (grant == grants.end())
        return proposal;
    const std::optional<GrantReason> reason = reasonToMove(registry, grant->second, *candidate, grants, now);
    if (!reason)
        return std::nullopt;
    proposal.record.previous = grant->second.epoch;
    proposal.reason = *reason;
    const auto owner = registry.daemons().find(grant->second.owner.daemon);
    proposal.ownerSilence = owner == registry.daemons().end() ? absl::InfiniteDuration() : now - owner->second.heardAt;
    return proposal;
}

std::vector<GrantProposal> OwnerAssigner::decide(const FleetRegistry& registry, const std::map<CellId, CellGrant>& grants, absl::Time now)
{
    std::vector<GrantProposal> proposals;
    // Proposals of this call count as granted, so that the cells of a pool are spread over the entries.
    std::map<CellId, CellGrant> planned = grants;
    for (const auto& [pool, minions] : registry.pools()) {
        const uint32_t count = partCount(registry, pool, minions, grants, now);
        for (uint32_t index = 0; index < count; ++index) {
            const CellId cell { pool.service, pool.dataCentre, { index, count } };
            if (const auto proposed = proposedAt_.find(cell); proposed != proposedAt_.end() && now < proposed->second + proposalRepeat)
                continue;
            std::optional<GrantProposal> proposal = decideCell(registry, cell, planned, now);
            if (!proposal)
                continue;
            if (proposal->reason == GrantReason::Rebalanced)
                rebalancedAt_ = now;
            planned[cell].owner = proposal->record.owner;
            proposedAt_[cell] = now;
            proposals.push_back(*std::move(proposal));
        }
    }
    return proposals;
}

} // namespace trefoilwing
