#pragma once

#include "Model/Identifiers.h"
#include "Model/MinionMessages.h"

#include <absl/time/time.h>

#include <algorithm>
#include <vector>

namespace trefoilwing::broker {

struct MinionPool;

/// Whether a minion gets work, judged by its faults.
enum class HealthState {
    Serving,
    /// Gets no work until it is probed.
    Ejected,
    /// Gets one task at a time.
    Probing,
};

/// Fault statistics of a minion and the state of its ejection.
struct MinionHealth {
    HealthState state = HealthState::Serving;
    /// Moving average of the share of its slot uses that ended with a fault.
    double faultShare = 0;
    uint32_t samples = 0;
    JobNumber lastFailedJob;
    uint32_t successfulProbes = 0;
    absl::Duration backoff;
    absl::Time probedAt = absl::InfiniteFuture();
};

/// A minion and its slots, as accounted for by the broker.
struct Minion {
    MinionId id;
    Incarnation incarnation;
    uint64_t announcementSequence = 0;
    Resources resources;
    MinionState state = MinionState::Serving;
    /// Whether the minion has announced itself and its lease hasn't ended.
    bool isPresent = false;
    uint32_t slots = 0;
    /// Number of slots granted to entries and not yet reported as ended.
    uint32_t granted = 0;
    /// Minimum of `granted` since the last announcement.
    uint32_t minGranted = 0;
    /// Number of slots in use that no known entry accounts for. Announcements lower it.
    uint32_t unaccounted = 0;
    /// When unaccounted slots are considered free. If they aren't, the minion refuses the start.
    absl::Time unaccountedUntil = absl::InfinitePast();
    /// The pools whose needs the minion meets.
    std::vector<MinionPool*> pools;
    /// Ratio of its run times to those of an average minion.
    double slowness = 1;
    /// Number of run times that the slowness was learned from.
    uint64_t samples = 0;
    /// Sort key among the free minions of its pools, and the slowness it was computed from.
    double rank = 1;
    double rankedSlowness = 1;
    bool isIndexedAsFree = false;
    MinionHealth health;

    /// @return the number of slots that may be granted now.
    uint32_t freeSlots() const
    {
        if (!isPresent || state != MinionState::Serving || health.state == HealthState::Ejected)
            return 0;
        const uint32_t used = granted + unaccounted;
        if (health.state == HealthState::Probing)
            return used == 0 && slots > 0 ? 1 : 0;
        return used >= slots ? 0 : slots - used;
    }
};

/// The rate at which minions up to a given slowness complete tasks.
struct SpeedStep {
    /// Slowness of the slowest minion included.
    double slowness = 1;
    /// Tasks per second that these minions complete with all slots in use, for tasks that run 1 s at an average minion.
    double completionRate = 0;
};

/// The minions that meet the same resource needs.
struct MinionPool {
    Resources needs;
    /// All present minions that meet the needs.
    std::vector<Minion*> members;
    /// Since when the pool has had no member.
    absl::Time emptySince = absl::InfinitePast();
    /// The members with free slots, fastest first.
    std::vector<Minion*> free;
    /// Completion rates of the fastest members, by increasing slowness.
    std::vector<SpeedStep> steps;
};

} // namespace trefoilwing::broker
