#pragma once

#include <csignal>
#include <initializer_list>

namespace trefoilwing {

/// Blocks signals in this thread and all it starts, so that one wait takes them, and lets writes to closed
/// connections fail instead of ending the process.
/// @return the signals blocked.
sigset_t blockSignals(std::initializer_list<int> numbers);

} // namespace trefoilwing
