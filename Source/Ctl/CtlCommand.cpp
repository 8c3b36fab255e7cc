#include "Ctl/CtlCommand.h"

#include <array>

namespace trefoilwing {

namespace {

    struct ExitCodeMapping {
        ErrorCode code;
        ExitCode exit;
    };

    /// Errors with an exit code of their own; all others exit with Failed.
    constexpr std::array<ExitCodeMapping, 3> exitCodeMappings { {
        { ErrorCode::Conflict, ExitCode::Conflict },
        { ErrorCode::Lost, ExitCode::Unreachable },
        { ErrorCode::Unavailable, ExitCode::TimedOut },
    } };

} // namespace

ExitCode reportError(Console& console, const Error& error)
{
    console.err << error.message;
    if (error.verdict == Verdict::MayHaveRun)
        console.err << " (" << verdictName(error.verdict) << ")";
    console.err << "\n";
    for (const ExitCodeMapping& row : exitCodeMappings) {
        if (row.code == error.code)
            return row.exit;
    }
    return ExitCode::Failed;
}

ExitCode reportUsage(Console& console, const std::string& message)
{
    console.err << "trefoilctl: " << message << "; --help shows the usage\n";
    return ExitCode::Usage;
}

} // namespace trefoilwing
