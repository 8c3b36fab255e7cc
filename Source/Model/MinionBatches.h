#pragma once

#include "Model/Identifiers.h"
#include "Model/MinionMessages.h"

#include <utility>
#include <vector>

namespace trefoilwing {

/// One incarnation of a minion and its endpoint.
///
/// A restarted minion has lost the record of the tasks that it ran, so its answers prove nothing about tasks of its
/// earlier incarnation. Messages therefore state the incarnation that they
/// are for, and another incarnation refuses them.
struct MinionAddress {
    MinionId minion;
    Incarnation incarnation;
    Endpoint endpoint;

    friend auto operator<=>(const MinionAddress&, const MinionAddress&) = default; // NOLINT(modernize-use-nullptr)
    friend bool operator==(const MinionAddress&, const MinionAddress&) = default;

    template <typename H>
    friend H AbslHashValue(H state, const MinionAddress& address)
    {
        return H::combine(std::move(state), address.minion, address.incarnation, address.endpoint.address, address.endpoint.port);
    }
};

/// The task starts that an entry sends to a minion in one message.
struct StartBatch {
    DaemonRun entry;
    /// The minion and its incarnation that the starts are for.
    MinionId minion;
    Incarnation incarnation;
    /// The endpoint to which the minion posts the results.
    Endpoint results;
    std::vector<TaskStart> starts;

    friend bool operator==(const StartBatch&, const StartBatch&) = default;
};

/// The cancellations that an entry sends to a minion in one message.
struct CancelBatch {
    DaemonRun entry;
    /// The minion and its incarnation that the starts were sent to.
    MinionId minion;
    Incarnation incarnation;
    std::vector<CancelOrder> cancels;

    friend bool operator==(const CancelBatch&, const CancelBatch&) = default;
};

/// The results of attempts, which the minion posts to the entry that started them.
struct ResultBatch {
    ServiceId service;
    MinionId minion;
    /// The incarnation of the entry that sent the starts. Attempt ids are only unique within it.
    DaemonRun entry;
    std::vector<TaskResult> results;

    friend bool operator==(const ResultBatch&, const ResultBatch&) = default;
};

} // namespace trefoilwing
