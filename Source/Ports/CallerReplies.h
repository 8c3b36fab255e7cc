#pragma once

#include "Model/IncomingJob.h"

namespace trefoilwing {

/// Brings answers to the callers that wait. Calls return at once, from any thread.
class CallerReplies {
public:
    virtual ~CallerReplies() = default;

    virtual void reply(Ticket, const CallerAnswer&) = 0;
};

} // namespace trefoilwing
