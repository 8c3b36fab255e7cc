#pragma once

#include "Model/BrokerMessages.h"
#include "Model/Declaration.h"
#include "Model/MinionMessages.h"

#include <absl/time/time.h>

#include <vector>

namespace trefoilwing {

/// What a broker decided, for one entry.
struct EntryDecisions {
    DaemonRun entry;
    /// The entry's stream that the decisions belong to, and their number in it, from 1.
    uint64_t stream = 0;
    uint64_t sequence = 0;
    std::vector<Grant> grants;
    std::vector<Rejection> rejections;
    bool needsFullState = false;
};

/// Decides which job of which entry gets which minion's slots, for one service in one data centre.
///
/// A decision object: it reads no clock, starts no thread and sends nothing. Calls feed it events
/// with the time; decide() returns what follows from all events since the last call.
class SlotBroker {
public:
    virtual ~SlotBroker() = default;

    /// Takes the declaration in force: backers' quotas, kinds and their first-guess run times.
    virtual void declare(const ServiceDeclaration&) = 0;

    /// Takes a new or renewed announcement of a minion of the service.
    virtual void minionAnnounced(const MinionAnnouncement&, absl::Time now) = 0;

    /// Takes the end of a minion's lease.
    virtual void minionGone(const MinionId&, absl::Time now) = 0;

    /// Takes an entry's demands and slot reports.
    virtual void entryUpdated(const BrokerUpdate&, absl::Time now) = 0;

    /// Takes the end of an entry's run: its demands and the slots granted to it are void.
    virtual void entryGone(const DaemonRun&, absl::Time now) = 0;

    /// @return the decisions that follow from the events so far, one element for each entry concerned.
    virtual std::vector<EntryDecisions> decide(absl::Time now) = 0;

    /// @return when decide() is next due without a new event; InfiniteFuture if not at all.
    virtual absl::Time nextWakeup() const = 0;
};

} // namespace trefoilwing
