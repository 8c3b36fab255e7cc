#pragma once

#include <csignal>
#include <initializer_list>

namespace trefoilwing {

/// Blocks signals in this thread and all threads it starts, so that sigwait() receives them, and ignores SIGPIPE, so
/// that a write to a closed connection fails instead of ending the process.
/// @return the blocked signals.
sigset_t blockSignals(std::initializer_list<int> numbers);

} // namespace trefoilwing
