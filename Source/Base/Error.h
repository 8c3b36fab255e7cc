#pragma once

#include <string>
#include <string_view>
#include <variant>

namespace trefoilwing {

/// Whether a request may have run. NotRun is reported only if it is proven.
enum class Verdict {
    /// No task has started, and none will start later.
    NotRun,
    /// Every task ran to completion.
    Ran,
    /// At least one task may have started.
    MayHaveRun,
};

/// @return the text of the verdict in answers, logs and reports, e.g. "not run".
std::string_view verdictName(Verdict);

/// The reason for a failed operation, as a code that callers can handle in software.
enum class ErrorCode {
    Malformed,
    TooLarge,
    UnknownService,
    UnknownBacker,
    UnknownTaskKind,
    UnknownSubmission,
    PastDeadline,
    Conflict,
    Overloaded,
    Impossible,
    Draining,
    Unavailable,
    TaskFailed,
    Lost,
    Cancelled,
    Internal,
};

/// @return the name of the code in messages to callers, e.g. "unknown_service".
std::string_view errorCodeName(ErrorCode);

/// A failure: its code, a message for people, and whether the request may have run.
struct Error {
    ErrorCode code = ErrorCode::Internal;
    std::string message;
    Verdict verdict = Verdict::NotRun;

    friend bool operator==(const Error&, const Error&) = default;
};

/// Holds either a value or an error.
template <typename T>
using Result = std::variant<T, Error>;

/// @return the value of a result, or null if the result holds an error.
template <typename T>
const T* valueOf(const Result<T>& result)
{
    return std::get_if<T>(&result);
}

/// @return the error of a result, or null if the result holds a value.
template <typename T>
const Error* errorOf(const Result<T>& result)
{
    return std::get_if<Error>(&result);
}

/// The value type of operations that return nothing on success.
using Done = std::monostate;

} // namespace trefoilwing
