#include "Adapters/Http/ErrorResponse.h"

#include "Adapters/Json/JsonMembers.h"

#include <array>

namespace trefoilwing {

namespace {

    constexpr int internalStatus = 500;

    constexpr std::array<std::pair<ErrorCode, int>, 16> statuses { {
        { ErrorCode::Malformed, 400 },
        { ErrorCode::TooLarge, 413 },
        { ErrorCode::UnknownService, 404 },
        { ErrorCode::UnknownBacker, 404 },
        { ErrorCode::UnknownTaskKind, 404 },
        { ErrorCode::UnknownSubmission, 404 },
        { ErrorCode::PastDeadline, 422 },
        { ErrorCode::Conflict, 409 },
        { ErrorCode::Overloaded, 429 },
        { ErrorCode::Impossible, 422 },
        { ErrorCode::Draining, 503 },
        { ErrorCode::Unavailable, 503 },
        { ErrorCode::TaskFailed, 502 },
        { ErrorCode::Lost, 502 },
        { ErrorCode::Cancelled, 410 },
        { ErrorCode::Internal, internalStatus },
    } };

    int statusOf(ErrorCode wanted)
    {
        for (const auto& [code, status] : statuses) {
            if (code == wanted)
                return status;
        }
        return internalStatus;
    }

} // namespace

HttpResponse errorResponse(const Error& error)
{
    const nlohmann::json body = {
        { "error",
            {
                { "code", errorCodeName(error.code) },
                { "message", error.message },
                { "verdict", verdictName(error.verdict) },
            } },
    };
    HttpResponse response;
    response.status = statusOf(error.code);
    response.body = jsonText(body);
    return response;
}

} // namespace trefoilwing
