#include "Adapters/Json/JsonMembers.h"

namespace trefoilwing {

namespace {

    /// Serialising and copying a document recurse once per level, so the number of levels is bounded.
    constexpr size_t maxDepth = 16;
    /// Maximum number of values in a document, since each takes tens of bytes however short its text is. A configuration of the
    /// maximum size has fewer.
    constexpr size_t maxValues = 1200000;

    /// @return whether the text has more nested lists and objects, or more values, than the maximum; decided without parsing,
    /// so that nothing is built of such a text.
    bool isTooDeepOrWide(const std::string& text)
    {
        size_t depth = 0;
        size_t values = 0;
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
            if ((c == ',' || c == '[' || c == '{') && ++values > maxValues)
                return true;
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
    nlohmann::json document = isTooDeepOrWide(body) ? nlohmann::json(nlohmann::json::value_t::discarded) : nlohmann::json::parse(body, nullptr, false);
    if (document.is_discarded())
        return Error { ErrorCode::Malformed, "The body isn't a JSON document of at most 16 levels and 1,200,000 values.", Verdict::NotRun };
    return document;
}

std::string jsonText(const nlohmann::json& document)
{
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace trefoilwing
