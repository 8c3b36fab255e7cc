#include "Ctl/CtlCommand.h"

#include <array>

namespace trefoilwing {

namespace {

    struct CodeOfError {
        ErrorCode code;
        ExitCode exit;
    };

    /// Errors with an exit code of their own; all others exit with Failed.
    constexpr std::array<CodeOfError, 3> codes { {
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
    for (const CodeOfError& row : codes) {
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
