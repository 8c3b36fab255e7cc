#pragma once

#include <string>
#include <string_view>
#include <variant>

namespace trefoilwing {

/// Says whether a request may have run. Only evidence gives NotRun.
enum class Verdict {
    /// No task started and none ever will.
    NotRun,
    /// Every task ran to its end.
    Ran,
    /// Some task may have started.
    MayHaveRun,
};

/// @return the wording used in answers, logs and reports, e.g. "not run".
std::string_view verdictName(Verdict);

/// Why an operation failed, as a code that callers can act on.
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

/// @return the code as it stands on the wire, e.g. "unknown_service".
std::string_view errorCodeName(ErrorCode);

/// A failure: its code, a sentence for people, and whether the request may have run.
struct Error {
    ErrorCode code = ErrorCode::Internal;
    std::string message;
    Verdict verdict = Verdict::NotRun;

    friend bool operator==(const Error&, const Error&) = default;
};

/// Either a value or the error that took its place.
template <typename T>
using Result = std::variant<T, Error>;

/// @return the value of a result, or null where it holds an error.
template <typename T>
const T* valueOf(const Result<T>& result)
{
    return std::get_if<T>(&result);
}

/// @return the error of a result, or null where it holds a value.
template <typename T>
const Error* errorOf(const Result<T>& result)
{
    return std::get_if<Error>(&result);
}

/// The value of operations that only succeed or fail.
using Done = std::monostate;

} // namespace trefoilwing
