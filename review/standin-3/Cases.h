#pragma once

#include "Record.h"

#include <string>

namespace review {

struct CaseInput {
    std::string program;
    std::string folder;
    /// Whether the disruption happens.
    bool hasTrouble = true;
    Record& record;
};

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

/// A minion registers while no leader is known, and its zone is handed over after its keeper has restarted.
int playRegister(const CaseInput& input);
/// A client cancels a job while its task runs, and one that waits.
int playCancel(const CaseInput& input);
/// The answer to the DELETE of a minion that leaves is lost.
int playLeave(const CaseInput& input);
/// An entry is killed, and a minion leaves the stop orders that follow unanswered.
int playLease(const CaseInput& input);

/// A keeper's disk refuses writes while the configuration changes often.
int playDisk(const CaseInput& input);

} // namespace review
