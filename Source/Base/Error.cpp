#include "Base/Error.h"

#include <array>

namespace trefoilwing {

namespace {

    constexpr std::array<std::string_view, 3> verdictNames { "not run", "ran", "may have run" };

    constexpr std::array<std::string_view, 16> errorCodeNames {
        "malformed",
        "too_large",
        "unknown_service",
        "unknown_backer",
        "unknown_task_kind",
        "unknown_submission",
        "past_deadline",
        "conflict",
        "overloaded",
        "impossible",
        "draining",
        "unavailable",
        "task_failed",
        "lost",
        "cancelled",
        "internal",
    };

} // namespace

std::string_view verdictName(Verdict verdict)
{
    return verdictNames[static_cast<size_t>(verdict)];
}

std::string_view errorCodeName(ErrorCode code)
{
    return errorCodeNames[static_cast<size_t>(code)];
}

} // namespace trefoilwing
