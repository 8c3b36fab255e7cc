#pragma once

#include "Model/IncomingJob.h"

namespace trefoilwing {

/// Sends answers to waiting callers. Calls don't block and may come from any thread.
class CallerReplies {
public:
    virtual ~CallerReplies() = default;

    virtual void reply(Ticket, const CallerAnswer&) = 0;
};

} // namespace trefoilwing
