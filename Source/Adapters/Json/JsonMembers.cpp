#include "Adapters/Json/JsonMembers.h"

namespace trefoilwing {

namespace {

    /// Serialising and copying a document recurse once per level, so the number of levels is bounded.
    constexpr size_t maxDepth = 16;

    /// @return whether the text has more nested lists and objects than the maximum; decided without parsing, so that
    /// nothing is built of such a text.
    bool isTooDeep(const std::string& text)
    {
        size_t depth = 0;
        bool isInString = false;
        for (size_t i = 0; i < text.size(); ++i) {
            const char c = text[i];
            if (isInString) {
                if (c == '\\')
                    ++i;
                else if (c == '"')
                    isInString = false;
                continue;
            }
            if (c == '"')
                isInString = true;
            else if ((c == '[' || c == '{') && ++depth > maxDepth)
                return true;
            else if ((c == ']' || c == '}') && depth > 0)
                --depth;
        }
        return false;
    }

} // namespace

Result<nlohmann::json> parseJson(const std::string& body)
{
    nlohmann::json document = isTooDeep(body) ? nlohmann::json(nlohmann::json::value_t::discarded) : nlohmann::json::parse(body, nullptr, false);
    if (document.is_discarded())
        return Error { ErrorCode::Malformed, "The body isn't a JSON document of at most 16 levels.", Verdict::NotRun };
    return document;
}

std::string jsonText(const nlohmann::json& document)
{
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace trefoilwing
