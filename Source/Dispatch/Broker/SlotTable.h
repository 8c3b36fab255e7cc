#pragma once

#include "Dispatch/Broker/Minion.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <memory>

namespace trefoilwing::broker {

/// Accounts for the slots of all minions and indexes those with free slots by pool.
class SlotTable {
public:
    /// @return the pool of the minions that meet the needs; valid for the lifetime of the table.
    MinionPool& poolFor(const Resources& needs, absl::Time now);

    /// Applies an announcement; an outdated one is ignored.
    void announce(const MinionAnnouncement&, absl::Time now);

    /// Removes a minion whose lease has ended.
    void remove(const MinionId&, absl::Time now);

    /// @return the minion; created without slots if it hasn't announced itself yet.
    Minion& minion(const MinionId&);

    /// @return the minion, or null if it isn't known.
    Minion* find(const MinionId&);

    /// Counts slots as granted to an entry.
    void grant(Minion&, uint32_t slots);

    /// Counts granted slots as free again.
    void release(Minion&, uint32_t slots);

    /// Counts unaccounted slots as granted to an entry.
    void claimUnaccounted(Minion&, uint32_t slots);

    /// Counts granted slots as unaccounted, until announcements report them free or the time is reached.
    void markUnaccounted(Minion&, uint32_t slots, absl::Time until);

    /// Counts a granted slot that the minion refused as busy as unaccounted.
    void markBusy(Minion&, absl::Time until);

    /// Marks a minion as accepting no new work, until it announces otherwise.
    void markLeaving(Minion&);

    /// Changes a minion's health state.
    /// @param probedAt when an ejected minion is probed.
    void changeHealth(Minion&, HealthState, absl::Time probedAt);

    /// Health totals of all present minions.
    struct HealthSummary {
        uint32_t minions = 0;
        uint32_t ejected = 0;
        double faultShares = 0;
    };

    HealthSummary summarizeHealth() const;

    /// Frees unaccounted slots whose time has passed, and starts probing ejected minions that are due.
    void expire(absl::Time now);

    /// @return the earliest time at which expire() changes something.
    absl::Time nextExpiry() const { return nextExpiry_; }

    /// Updates a minion's position among the free ones after its rank changed.
    void reindex(Minion&);

    /// Recomputes the pools' speed steps and the capacity if they are out of date.
    void refreshSteps(absl::Time now);

    /// @return the number of slots of all present minions.
    uint32_t totalSlots() const { return totalSlots_; }

    /// @return work that all slots complete per second, in seconds of run time at an average minion, as of the last refresh.
    double capacity() const { return capacity_; }

    /// @return the number of free slots of all minions.
    uint32_t freeSlots() const { return freeSlots_; }

private:
    void addToIndex(Minion&);
    void removeFromIndex(Minion&);
    static void refreshSteps(MinionPool&);
    void joinPools(Minion&);
    static void leavePools(Minion&, absl::Time now);
    static bool meets(const Resources& offered, const Resources& needs);
    void addUnaccounted(Minion&, uint32_t slots, absl::Time until);
    static void reconcile(Minion&, uint32_t busySlots);

    absl::flat_hash_map<MinionId, std::unique_ptr<Minion>> minions_;
    std::map<Resources, std::unique_ptr<MinionPool>> pools_;
    uint32_t totalSlots_ = 0;
    uint32_t freeSlots_ = 0;
    double capacity_ = 0;
    absl::Time stepsRefreshed_ = absl::InfinitePast();
    absl::Time nextExpiry_ = absl::InfiniteFuture();
};

} // namespace trefoilwing::broker
