#pragma once

#include "Model/Identifiers.h"
#include "Model/MinionMessages.h"

#include <absl/time/time.h>

#include <algorithm>
#include <vector>

namespace trefoilwing::broker {

struct MinionPool;

/// Whether a minion gets work, as far as its faults go.
enum class HealthState {
    Serving,
    /// Gets nothing until it is probed.
    Ejected,
    /// Gets one task at a time.
    Probing,
};

/// What is known of a minion's faults.
struct MinionHealth {
    HealthState state = HealthState::Serving;
    /// The moving average of faults among the ends of its slots.
    double faultShare = 0;
    uint32_t samples = 0;
    JobNumber lastFailedJob;
    uint32_t goodProbes = 0;
    absl::Duration backoff;
    absl::Time probedAt = absl::InfiniteFuture();
};

/// One minion's slots as the broker counts them.
struct Minion {
    MinionId id;
    Incarnation incarnation;
    uint64_t announcementSequence = 0;
    Resources resources;
    MinionState state = MinionState::Serving;
    /// Whether its lease stands.
    bool isPresent = false;
    uint32_t slots = 0;
    /// Slots granted to entries and not yet reported as ended.
    uint32_t granted = 0;
    /// The least that `granted` has been since the last announcement.
    uint32_t leastGranted = 0;
    /// Slots in use that no known entry accounts for; announcements lower it.
    uint32_t unaccounted = 0;
    /// When slots that stay unaccounted for are taken to be free; the minion's refusal is the guard.
    absl::Time unaccountedUntil = absl::InfinitePast();
    /// The pools whose needs it meets.
    std::vector<MinionPool*> pools;
    /// Its run times relative to those of an average minion.
    double slowness = 1;
    /// How many run times its slowness has been learned from.
    uint64_t samples = 0;
    /// Where it stands among the free minions of its pools, and the slowness that gave it this place.
    double rank = 1;
    double rankedSlowness = 1;
    bool isFiledAsFree = false;
    MinionHealth health;

    /// @return how many slots may be granted now.
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

/// How fast the slots of the faster minions come free.
struct SpeedStep {
    /// The slowness of the slowest of these minions.
    double slowness = 1;
    /// Task ends a second for tasks that run 1 s at an average minion, with all their slots in use.
    double endRate = 0;
};

/// The minions that meet the same needs.
struct MinionPool {
    Resources needs;
    /// All present minions that meet the needs.
    std::vector<Minion*> members;
    /// Since when it has had no member.
    absl::Time emptySince = absl::InfinitePast();
    /// Those with free slots, the fastest first.
    std::vector<Minion*> free;
    /// What the minions up to a slowness can do, the fastest first.
    std::vector<SpeedStep> steps;
};

} // namespace trefoilwing::broker
