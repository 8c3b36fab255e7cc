#pragma once

namespace trefoilwing {

/// Exit statuses of the daemon, as listed in its help text.
inline constexpr int exitDrained = 0;
inline constexpr int exitUndrained = 1;
inline constexpr int exitUsage = 2;
inline constexpr int exitSettings = 3;
inline constexpr int exitAddress = 4;
inline constexpr int exitDataFolder = 5;

} // namespace trefoilwing
