#pragma once

#include "Model/Identifiers.h"
#include "Model/MinionBatches.h"

#include <vector>

namespace trefoilwing {

/// Receives the answers of minions. Its methods are called on the link's threads.
class MinionEvents {
public:
    virtual ~MinionEvents() = default;

    /// @param answers one answer for each start of a batch sent to the minion, in any order.
    virtual void startsAnswered(const ServiceId&, const MinionId&, const std::vector<StartAnswer>& answers) = 0;
    virtual void cancelsAnswered(const ServiceId&, const MinionId&, const std::vector<CancelAnswer>& answers) = 0;
};

/// Sends messages to minions. Calls don't block; answers are delivered through MinionEvents.
///
/// If a minion's incarnation isn't the one in the address, the minion accepts nothing: starts are reported as
/// not sent, and cancellations as unanswered.
class MinionLink {
public:
    virtual ~MinionLink() = default;

    virtual void sendStarts(const ServiceId&, const MinionAddress&, std::vector<TaskStart>) = 0;
    virtual void sendCancels(const ServiceId&, const MinionAddress&, std::vector<CancelOrder>) = 0;
};

} // namespace trefoilwing
