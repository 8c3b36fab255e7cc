#pragma once

#include "Dispatch/Broker/Minion.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <memory>

namespace trefoilwing::broker {

/// Counts the slots of all minions and files those that have free ones, by pool.
class SlotTable {
public:
    /// @return the pool of the minions that meet the needs; it lives as long as the table.
    MinionPool& poolFor(const Resources& needs, absl::Time now);

    /// Takes an announcement; one that is older than what is known changes nothing.
    void announce(const MinionAnnouncement&, absl::Time now);

    /// Takes the end of a minion's lease.
    void remove(const MinionId&, absl::Time now);

    /// @return the minion, made known without slots if it hasn't announced itself.
    Minion& minion(const MinionId&);

    /// @return the minion, or null if it isn't known.
    Minion* find(const MinionId&);

    /// Counts slots as granted to an entry.
    void grant(Minion&, uint32_t slots);

    /// Counts granted slots as free again.
    void release(Minion&, uint32_t slots);

    /// Counts slots as granted that had been in use unaccounted for.
    void account(Minion&, uint32_t slots);

    /// Counts granted slots as used by nobody known, until announcements show that they are free or the time comes.
    void disown(Minion&, uint32_t slots, absl::Time until);

    /// Counts a slot as in use that was thought to be free.
    void markBusy(Minion&, absl::Time until);

    /// Takes that a minion takes nothing new, until it announces otherwise.
    void markLeaving(Minion&);

    /// Changes whether a minion gets work.
    /// @param probedAt when an ejected one is probed.
    void changeHealth(Minion&, HealthState, absl::Time probedAt);

    /// What all present minions' health comes to.
    struct HealthSummary {
        uint32_t minions = 0;
        uint32_t ejected = 0;
        double faultShares = 0;
    };

    HealthSummary summarizeHealth() const;

    /// Frees the slots whose time to be accounted for has passed, and probes the ejected minions that are due.
    void expire(absl::Time now);

    /// @return the earliest time at which expire() changes something.
    absl::Time nextExpiry() const { return nextExpiry_; }

    /// Files a minion anew after a change of what decides on its place among the free ones.
    void refile(Minion&);

    /// Works out the pools' speed steps anew if they are older than a while.
    void refreshSteps(absl::Time now);

    /// @return the slots of all present minions.
    uint32_t totalSlots() const { return totalSlots_; }

    /// @return seconds of work at a minion of average speed that all slots do in a second, as of the last refresh.
    double capacity() const { return capacity_; }

    /// @return the free slots of all minions.
    uint32_t freeSlots() const { return freeSlots_; }

private:
    void file(Minion&);
    void unfile(Minion&);
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
