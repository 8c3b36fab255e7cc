#pragma once

#include "Model/Identifiers.h"
#include "Model/MinionMessages.h"

#include <utility>
#include <vector>

namespace trefoilwing {

/// One run of a minion, and where it listens.
///
/// A restarted minion has forgotten what it ran, so what it says of its former run's tasks is no evidence.
/// Messages therefore name the run they are for, and another run refuses them.
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

/// What one entry starts at a minion in one message.
struct StartBatch {
    DaemonRun entry;
    /// The run of the minion that the starts are for.
    MinionId minion;
    Incarnation incarnation;
    /// Where the minion posts the results.
    Endpoint results;
    std::vector<TaskStart> starts;

    friend bool operator==(const StartBatch&, const StartBatch&) = default;
};

/// What one entry cancels at a minion in one message.
struct CancelBatch {
    DaemonRun entry;
    /// The run of the minion that the starts were sent to.
    MinionId minion;
    Incarnation incarnation;
    std::vector<CancelOrder> cancels;

    friend bool operator==(const CancelBatch&, const CancelBatch&) = default;
};

/// Ends of attempts, posted by their minion to the entry that started them.
struct ResultBatch {
    ServiceId service;
    MinionId minion;
    /// The run that sent the starts; attempt ids of another run mean other attempts.
    DaemonRun entry;
    std::vector<TaskResult> results;

    friend bool operator==(const ResultBatch&, const ResultBatch&) = default;
};

} // namespace trefoilwing
