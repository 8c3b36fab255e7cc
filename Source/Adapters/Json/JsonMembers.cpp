#include "Adapters/Json/JsonMembers.h"

namespace trefoilwing {

Result<nlohmann::json> parseJson(const std::string& body)
{
    // Serialising a document recurses once per level, so the number of levels is bounded.
    constexpr int maxDepth = 16;
    bool isTooDeep = false;
    nlohmann::json document = nlohmann::json::parse(
        body, [&](int depth, nlohmann::json::parse_event_t, nlohmann::json&) {
            isTooDeep = isTooDeep || depth > maxDepth;
            return !isTooDeep;
        },
        false);
    if (document.is_discarded() || isTooDeep)
        return Error { ErrorCode::Malformed, "The body isn't a JSON document of at most 16 levels.", Verdict::NotRun };
    return document;
}

std::string jsonText(const nlohmann::json& document)
{
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace trefoilwing
