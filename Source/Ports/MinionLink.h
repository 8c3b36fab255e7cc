#pragma once

#include "Model/Identifiers.h"
#include "Model/MinionBatches.h"

#include <vector>

namespace trefoilwing {

/// Takes what comes back from minions. Calls come from the link's threads.
class MinionEvents {
public:
    virtual ~MinionEvents() = default;

    /// @param answers one for each start of a batch sent to the minion, in any order.
    virtual void startsAnswered(const ServiceId&, const MinionId&, const std::vector<StartAnswer>& answers) = 0;
    virtual void cancelsAnswered(const ServiceId&, const MinionId&, const std::vector<CancelAnswer>& answers) = 0;
};

/// Sends to minions. Calls return at once; answers come through MinionEvents.
///
/// A minion that turns out to be another run than the address names takes nothing: its starts count as
/// not sent, and its cancels as unanswered.
class MinionLink {
public:
    virtual ~MinionLink() = default;

    virtual void sendStarts(const ServiceId&, const MinionAddress&, std::vector<TaskStart>) = 0;
    virtual void sendCancels(const ServiceId&, const MinionAddress&, std::vector<CancelOrder>) = 0;
};

} // namespace trefoilwing
