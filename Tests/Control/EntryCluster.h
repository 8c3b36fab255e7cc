#pragma once

#include "Control/Membership.h"
#include "Control/MinionRegistry.h"
#include "Support/SeededRandom.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace trefoilwing {

/// Simulates the entries of several data centres on a fake network, with minions that announce themselves.
///
/// Simulated time advances in steps. Each minion announces itself once a second to an entry chosen at
/// random, as the platform's load balancer would route it.
class EntryCluster {
public:
    struct Options {
        size_t dataCentres = 1;
        size_t entriesEach = 3;
        uint64_t seed = 1;
        absl::Duration step = absl::Milliseconds(50);
        bool keepsHistory = true;
    };

    /// The faults that the network applies to each message.
    struct Faults {
        uint32_t lossPercent = 0;
        uint32_t duplicatePercent = 0;
        absl::Duration maxDelay;
    };

    /// A minion's true state, independent of what the entries know.
    struct Minion {
        MinionAnnouncement announcement;
        bool isUp = true;
        absl::Time nextAnnouncement;
    };

    struct Entry {
        DaemonSettings settings;
        Incarnation incarnation;
        std::unique_ptr<Membership> membership;
        std::unique_ptr<MinionRegistry> registry;
        bool isFrozen = false;
        /// Deliveries that arrived while it was frozen.
        std::vector<std::function<void()>> held;
        std::vector<MembershipEvent> events;
        /// The minions' announcements as reported by the registry's events.
        std::map<MinionId, MinionAnnouncement> reported;
        /// Runs of minions that this run of the entry has seen leaving.
        std::set<std::pair<MinionId, Incarnation>> left;
        /// The latest run of each minion that this run of the entry has seen.
        std::map<MinionId, Incarnation> latest;

        bool isUp() const { return membership != nullptr; }
        bool isRunning() const { return isUp() && !isFrozen; }
    };

    using SendListener = std::function<void(size_t from, size_t to, const PeerMessage&)>;

    explicit EntryCluster(Options);

    void run(absl::Duration);
    absl::Time now() const { return now_; }

    size_t size() const { return entries_.size(); }
    Entry& entry(size_t index) { return entries_[index % entries_.size()]; }
    /// Called for every message that an entry sends.
    void setSendListener(SendListener listener) { listener_ = std::move(listener); }

    void kill(size_t entry);
    void restart(size_t entry);
    void freeze(size_t entry);
    void resume(size_t entry);
    void drain(size_t entry);
    /// Makes an entry announce that it leaves, and end.
    void leave(size_t entry);

    /// Disconnects an entry from the other entries, but not from its minions.
    void isolate(size_t entry) { isolated_.insert(entry % size()); }
    void heal();
    void setFaults(Faults faults) { faults_ = faults; }

    /// Adds a serving minion of a data centre.
    size_t addMinion(size_t dataCentre = 0);
    Minion& minion(size_t index) { return minions_[index % minions_.size()]; }
    /// All announcements sent so far, oldest first.
    const std::vector<MinionAnnouncement>& history() const { return history_; }
    size_t minionCount() const { return minions_.size(); }
    void stopMinion(size_t index) { minion(index).isUp = false; }
    void restartMinion(size_t index);
    void leaveMinion(size_t index);
    /// Changes the number of slots that a minion offers.
    void resizeMinion(size_t index, uint32_t slots);
    /// Delivers a minion's announcement to an entry.
    void announce(const MinionAnnouncement&, size_t entry);

    /// @return the invariant that the reported events have violated; empty if none.
    const std::string& violation() const { return violation_; }

    /// @return how some entry's view differs from the true state or from the other entries; empty if they agree.
    std::string disagreement(size_t dataCentre = 0);

    static const ServiceId& service();

private:
    struct MessageInFlight {
        size_t from;
        size_t to;
        PeerMessage message;
    };

    void start(size_t entry);
    void deliver(const MessageInFlight&);
    void flush(size_t entry);
    void take(Entry&, const MembershipEvent&);
    void take(Entry&, const MinionEvent&);
    void send(size_t from, const Envelope&);
    void enqueue(const MessageInFlight&);
    void announceDue();
    std::optional<size_t> chooseTarget(const DataCentreId&);
    bool isCut(size_t a, size_t b) const { return isolated_.contains(a) || isolated_.contains(b); }
    size_t indexOf(const DaemonId&) const;

    const Options options_;
    SeededRandom random_;
    absl::Time now_ = absl::UnixEpoch();
    std::vector<PeerSettings> peers_;
    std::vector<Entry> entries_;
    std::vector<Minion> minions_;
    std::vector<MinionAnnouncement> history_;
    std::multimap<absl::Time, MessageInFlight> messagesInFlight_;
    std::set<size_t> isolated_;
    Faults faults_;
    SendListener listener_;
    std::string violation_;
};

} // namespace trefoilwing
