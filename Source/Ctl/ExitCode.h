#pragma once

namespace trefoilwing {

/// The exit codes of trefoilctl, documented in docs/COMMANDS.md.
enum class ExitCode {
    Ok = 0,
    /// The command line was valid, but the command failed.
    Failed = 1,
    /// The command line is invalid.
    Usage = 2,
    /// Another operator's change was published first.
    Conflict = 3,
    /// No daemon could be reached.
    Unreachable = 4,
    /// The awaited state wasn't reached before the timeout, or the outcome isn't decided yet.
    TimedOut = 5,
};

} // namespace trefoilwing
