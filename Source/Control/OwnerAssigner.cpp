#include "Control/OwnerAssigner.h"

#include <algorithm>
#include <cmath>

namespace trefoilwing {

namespace {

    /// Time in which a new leader collects heartbeats from all daemons before it presumes any dead.
    constexpr absl::Duration leaderGracePeriod = absl::Milliseconds(1000);

    /// After a network partition heals, the daemons of a data centre become reachable one after the other: a broken
    /// connection is re-established within 400 ms (handshake and backoff), heartbeats are sent every 250 ms, and
    /// either may be lost once.
    constexpr absl::Duration reconnectTime = absl::Milliseconds(1200);

    /// When a partition begins, the last heartbeats of the daemons behind it arrive within 250 to 500 ms of each
    /// other. An owner is presumed dead only if other daemons of its data centre stay reachable for longer than that.
    constexpr absl::Duration minPeerLead = absl::Milliseconds(600);

    /// A grant that hasn't been applied is proposed again after this time.
    constexpr absl::Duration proposalRetryInterval = absl::Milliseconds(1000);

    /// An entry that has been reachable for this long may take over cells of its own data centre from an entry of another
    /// one. It is longer than the time within which a cell must not alternate between two owners.
    constexpr absl::Duration minReachableTime = absl::Seconds(4);

    /// Number of minions that an entry with a whole core is given. At the usual 7 to 8 starts a second each, they use
    /// a fifth of the core; the rest is reserved for peaks, which are twice as high, and for the entry's own callers.
    constexpr double minionsPerCore = 200;
    /// Minimum number of minions per cell when a pool is divided; a job of usual width wouldn't fit into a smaller cell.
    constexpr size_t minMinionsPerCell = 8;
    /// A pool is divided only when its cells have more than this multiple of the minions that the strongest entry is
    /// meant to handle, because dividing ends the pool's jobs in progress.
    constexpr double overloadFactor = 1.5;
    /// Waiting time before the first division of a pool. Minions report every 1.5 s, so by then all minions of a pool
    /// that has just started are known.
    constexpr absl::Duration firstDivisionDelay = absl::Seconds(2);
    /// Waiting time before further divisions, in which strong entries that restart come back.
    constexpr absl::Duration laterDivisionDelay = absl::Seconds(6);

    /// Interval between moves of cells to less loaded entries. They move one at a time, because each is briefly
    /// without an owner.
    constexpr absl::Duration rebalanceInterval = absl::Milliseconds(500);
    /// A cell is moved only if the new owner's load then stays below this fraction of the old owner's load.
    constexpr double maxLoadRatio = 0.5;

    size_t cellsOwned(const std::map<CellId, CellGrant>& grants, const TrackedDaemon& daemon)
    {
        return static_cast<size_t>(std::count_if(grants.begin(), grants.end(), [&](const auto& grant) { return grant.second.owner == daemon.info.run; }));
    }

    /// @return the load of a daemon with the given number of cells, in cells per core.
    double relativeLoad(size_t cells, const TrackedDaemon& daemon)
    {
        return static_cast<double>(cells) * defaultMilliCores / daemon.milliCores;
    }

    /// @return the number of cells that the pool is divided into now; 0 if none has been granted yet.
    uint32_t currentPartCount(const PoolId& pool, const std::map<CellId, CellGrant>& grants)
    {
        const auto found = std::find_if(grants.begin(), grants.end(), [&](const auto& entry) { return entry.first.pool() == pool; });
        return found == grants.end() ? 0 : found->first.part.count;
    }

    /// @return the number of minions that an entry with this processor is meant to handle.
    double supportedMinions(uint32_t milliCores)
    {
        return minionsPerCore * milliCores / defaultMilliCores;
    }

    /// @param entries the processor capacities of the data centre's entries, in thousandths of a core.
    /// @return the smallest number of equal cells that the entries can handle.
    uint32_t minPartCount(size_t minions, const std::vector<uint32_t>& entries)
    {
        const auto most = static_cast<uint32_t>((minions + minMinionsPerCell - 1) / minMinionsPerCell);
        for (uint32_t parts = 1; parts < most; ++parts) {
            const double size = static_cast<double>(minions) / parts;
            double supportedCells = 0;
            for (const uint32_t milliCores : entries)
                supportedCells += std::floor(supportedMinions(milliCores) / size);
            if (supportedCells >= parts)
                return parts;
        }
        return most;
    }

} // namespace

std::vector<uint32_t> OwnerAssigner::processors(const FleetRegistry& registry, const DataCentreId& dataCentre, absl::Time now) const
{
    std::vector<uint32_t> found;
    for (const auto& [id, daemon] : registry.daemons()) {
        if (daemon.info.isEntry && !daemon.info.isDraining && daemon.info.dataCentre == dataCentre && isReachable(daemon, now))
            found.push_back(daemon.milliCores);
    }
    return found;
}

uint32_t OwnerAssigner::partCount(const FleetRegistry& registry, const PoolId& pool, size_t minions, const std::map<CellId, CellGrant>& grants, absl::Time now)
{
    const uint32_t present = std::max<uint32_t>(1, currentPartCount(pool, grants));
    const std::vector<uint32_t> entries = processors(registry, pool.dataCentre, now);
    const auto strongest = std::max_element(entries.begin(), entries.end());
    if (strongest == entries.end() || static_cast<double>(minions) <= present * overloadFactor * supportedMinions(*strongest)) {
        overloadedSince_.erase(pool);
        return present;
    }
    const absl::Time since = overloadedSince_.try_emplace(pool, now).first->second;
    if (now < since + (present == 1 ? firstDivisionDelay : laterDivisionDelay))
        return present;
    return std::max(present, minPartCount(minions, entries));
}

bool OwnerAssigner::isReachable(const TrackedDaemon& daemon, absl::Time now) const
{
    return now - daemon.lastHeartbeatAt < daemonTimeout;
}

bool OwnerAssigner::isDataCentreReachable(const FleetRegistry& registry, const DataCentreId& dataCentre, absl::Time since, absl::Time now) const
{
    return std::any_of(registry.daemons().begin(), registry.daemons().end(), [&](const auto& entry) {
        const TrackedDaemon& daemon = entry.second;
        return daemon.info.dataCentre == dataCentre && daemon.lastHeartbeatAt >= since && isReachable(daemon, now) && now >= daemon.steadySince + reconnectTime;
    });
}

const TrackedDaemon* OwnerAssigner::chooseOwner(const FleetRegistry& registry, const CellId& cell, const std::map<CellId, CellGrant>& grants, absl::Time now) const
{
    // An owner that has just restarted keeps its cells. Otherwise, when all daemons restart, the cells would pile up
    // on the entries whose heartbeats arrive first.
    if (const auto grant = grants.find(cell); grant != grants.end()) {
        const auto owner = registry.daemons().find(grant->second.owner.daemon);
        if (owner != registry.daemons().end() && owner->second.info.run != grant->second.owner && owner->second.info.isEntry
            && !owner->second.info.isDraining && owner->second.info.dataCentre == cell.dataCentre && isReachable(owner->second, now))
            return &owner->second;
    }
    const TrackedDaemon* best = nullptr;
    auto isBetter = [&](const TrackedDaemon& a, const TrackedDaemon& b) {
        const bool isAtHome = a.info.dataCentre == cell.dataCentre;
        if (isAtHome != (b.info.dataCentre == cell.dataCentre))
            return isAtHome;
        const double loadA = relativeLoad(cellsOwned(grants, a) + 1, a);
        const double loadB = relativeLoad(cellsOwned(grants, b) + 1, b);
        return loadA != loadB ? loadA < loadB : a.since < b.since;
    };
    for (const auto& [id, daemon] : registry.daemons()) {
        if (daemon.info.isEntry && !daemon.info.isDraining && isReachable(daemon, now) && (!best || isBetter(daemon, *best)))
            best = &daemon;
    }
    return best;
}

std::optional<GrantReason> OwnerAssigner::reasonToMove(const FleetRegistry& registry, const CellGrant& grant, const TrackedDaemon& candidate, const std::map<CellId, CellGrant>& grants, absl::Time now) const
{
    const auto found = registry.daemons().find(grant.owner.daemon);
    const TrackedDaemon* owner = found == registry.daemons().end() ? nullptr : &found->second;
    if (owner && isReachable(*owner, now)) {
        // The owner's own heartbeat shows that it has restarted or is draining, so the cell moves without delay.
        if (owner->info.run != grant.owner)
            return GrantReason::OwnerRestarted;
        if (owner->info.isDraining)
            return GrantReason::OwnerDrains;
        const bool isCandidateHome = candidate.info.dataCentre == grant.cell.dataCentre;
        if (!isCandidateHome || now <= candidate.since + minReachableTime || now < leadingSince_ + leaderGracePeriod)
            return std::nullopt;
        if (owner->info.dataCentre != grant.cell.dataCentre)
            return GrantReason::LocalEntryAvailable;
        const bool isMuchLessLoaded = relativeLoad(cellsOwned(grants, candidate) + 1, candidate) < maxLoadRatio * relativeLoad(cellsOwned(grants, *owner), *owner);
        if (isMuchLessLoaded && now >= rebalancedAt_ + rebalanceInterval)
            return GrantReason::Rebalanced;
        return std::nullopt;
    }
    const absl::Time lastHeartbeatAt = owner ? owner->lastHeartbeatAt : absl::InfinitePast();
    if (now >= leadingSince_ + leaderGracePeriod && isDataCentreReachable(registry, grant.cell.dataCentre, lastHeartbeatAt + minPeerLead, now))
        return GrantReason::OwnerSilent;
    return std::nullopt;
}

std::optional<GrantProposal> OwnerAssigner::decideCell(const FleetRegistry& registry, const CellId& cell, const std::map<CellId, CellGrant>& grants, absl::Time now) const
{
    const TrackedDaemon* candidate = chooseOwner(registry, cell, grants, now);
    if (!candidate)
        return std::nullopt;
    GrantProposal proposal { { cell, candidate->info.run, OwnerEpoch(0) }, GrantReason::Unowned, absl::ZeroDuration() };
    const auto grant = grants.find(cell);
    if (grant == grants.end())
        return proposal;
    const std::optional<GrantReason> reason = reasonToMove(registry, grant->second, *candidate, grants, now);
    if (!reason)
        return std::nullopt;
    proposal.record.previous = grant->second.epoch;
    proposal.reason = *reason;
    const auto owner = registry.daemons().find(grant->second.owner.daemon);
    proposal.ownerSilence = owner == registry.daemons().end() ? absl::InfiniteDuration() : now - owner->second.lastHeartbeatAt;
    return proposal;
}

bool OwnerAssigner::mayHaveOwners(const PoolId& pool, const std::map<CellId, CellGrant>& grants) const
{
    return services_.empty() || services_.contains(pool.service) || currentPartCount(pool, grants) > 0;
}

std::vector<GrantProposal> OwnerAssigner::decide(const FleetRegistry& registry, const std::map<CellId, CellGrant>& grants, absl::Time now)
{
    std::vector<GrantProposal> proposals;
    // Proposals of this call count as granted, so that the cells of a pool are spread over the entries.
    std::map<CellId, CellGrant> planned = grants;
    for (const auto& [pool, minions] : registry.pools()) {
        if (!mayHaveOwners(pool, grants))
            continue;
        const uint32_t count = partCount(registry, pool, minions, grants, now);
        for (uint32_t index = 0; index < count; ++index) {
            const CellId cell { pool.service, pool.dataCentre, { index, count } };
            if (const auto proposed = proposedAt_.find(cell); proposed != proposedAt_.end() && now < proposed->second + proposalRetryInterval)
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
