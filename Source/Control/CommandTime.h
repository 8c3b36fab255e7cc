#pragma once

#include "Model/LogRecord.h"

#include <absl/time/time.h>

namespace trefoilwing {

/// Gives a command the time of the leader that appends it.
///
/// Claims expire by the times in the records, so one daemon whose clock is ahead must not drop
/// those of the others: only the leader's clock counts.
void stampTime(Command&, absl::Time now);

} // namespace trefoilwing
