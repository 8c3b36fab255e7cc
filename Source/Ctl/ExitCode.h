#pragma once

namespace trefoilwing {

/// How trefoilctl ends. docs/COMMANDS.md lists them.
enum class ExitCode {
    Ok = 0,
    /// The command was understood and failed.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// Another change took the version.
    Conflict = 3,
    /// No daemon could be reached.
    Unreachable = 4,
    /// What was waited for hasn't happened in time, or isn't decided yet.
    TimedOut = 5,
};

} // namespace trefoilwing
