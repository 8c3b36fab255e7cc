#pragma once

#include "Model/Identifiers.h"
#include "Model/MinionMessages.h"

#include <absl/time/time.h>

#include <algorithm>
#include <vector>

namespace trefoilwing::broker {

struct MinionPool;

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
    /// Where it stands among the free minions of its pools: the slowness of its last filing.
    double rank = 1;
    bool isFiledAsFree = false;

    /// @return how many slots may be granted now.
    uint32_t freeSlots() const
    {
        if (!isPresent || state != MinionState::Serving)
            return 0;
        const uint32_t used = granted + unaccounted;
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
    /// Those with free slots, the fastest first.
    std::vector<Minion*> free;
    /// What the minions up to a slowness can do, the fastest first.
    std::vector<SpeedStep> steps;
};

} // namespace trefoilwing::broker
