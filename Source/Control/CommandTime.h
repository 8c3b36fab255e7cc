#pragma once

#include "Model/LogRecord.h"

#include <absl/time/time.h>

namespace trefoilwing {

/// Sets a command's timestamp to the time of the leader that appends it.
///
/// Claims expire by the timestamps in the records. Only the leader's clock is used, so that a
/// daemon whose clock is ahead can't make others' claims expire early.
void stampTime(Command&, absl::Time now);

} // namespace trefoilwing
