#pragma once

#include "Model/Identifiers.h"
#include "Model/MinionMessages.h"

#include <absl/time/time.h>

#include <vector>

namespace trefoilwing {

/// What one entry starts at a minion in one message.
struct StartBatch {
    DaemonRun entry;
    /// Where the minion posts the results.
    Endpoint results;
    std::vector<TaskStart> starts;

    friend bool operator==(const StartBatch&, const StartBatch&) = default;
};

/// What one entry cancels at a minion in one message.
struct CancelBatch {
    DaemonRun entry;
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
