#pragma once

#include "Model/BrokerMessages.h"
#include "Model/Declaration.h"
#include "Model/MinionMessages.h"

#include <absl/time/time.h>

#include <vector>

namespace trefoilwing {

/// A broker's decisions for one entry.
struct EntryDecisions {
    DaemonRun entry;
    /// The entry's stream that the decisions belong to, and their sequence number in it, starting at 1.
    uint64_t stream = 0;
    uint64_t sequence = 0;
    std::vector<Grant> grants;
    std::vector<Rejection> rejections;
    bool needsFullState = false;
};

/// Assigns the minions' slots to the jobs of all entries, for one service in one data centre.
///
/// Does no I/O: it reads no clock, starts no thread and sends nothing. Calls pass it events with the
/// current time; decide() returns the decisions that follow from all events since the last call.
class SlotBroker {
public:
    virtual ~SlotBroker() = default;

    /// Applies the declaration in force: the backers' quotas, and the kinds with their initial run times.
    virtual void declare(const ServiceDeclaration&) = 0;

    /// Applies a new or renewed announcement of a minion of the service.
    virtual void minionAnnounced(const MinionAnnouncement&, absl::Time now) = 0;

    /// Removes a minion whose lease has ended.
    virtual void minionRemoved(const MinionId&, absl::Time now) = 0;

    /// Applies an entry's demands and slot reports.
    virtual void entryUpdated(const BrokerUpdate&, absl::Time now) = 0;

    /// Removes an incarnation of an entry that has ended, with its demands and grants.
    virtual void entryRemoved(const DaemonRun&, absl::Time now) = 0;

    /// @return the decisions that follow from the events so far, one element per entry concerned.
    virtual std::vector<EntryDecisions> decide(absl::Time now) = 0;

    /// @return when decide() is next due without a new event, or InfiniteFuture.
    virtual absl::Time nextWakeup() const = 0;
};

} // namespace trefoilwing
