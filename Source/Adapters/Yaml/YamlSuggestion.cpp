#include "Adapters/Yaml/YamlSuggestion.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <numeric>

namespace trefoilwing {

namespace {

    constexpr size_t maxComparedLength = 64;

    /// Levenshtein distance: the number of insertions, removals and replacements between two texts.
    size_t editDistance(const std::string& from, const std::string& to)
    {
        std::vector<size_t> row(to.size() + 1);
        std::iota(row.begin(), row.end(), size_t { 0 });
        for (size_t i = 1; i <= from.size(); ++i) {
            size_t diagonal = row[0];
            row[0] = i;
            for (size_t j = 1; j <= to.size(); ++j) {
                const size_t replaced = diagonal + (from[i - 1] == to[j - 1] ? 0 : 1);
                diagonal = row[j];
                row[j] = std::min({ replaced, row[j] + 1, row[j - 1] + 1 });
            }
        }
        return row.back();
    }

} // namespace

std::string listOfNames(const std::vector<std::string>& names)
{
    std::string list;
    for (size_t i = 0; i < names.size(); ++i) {
        const char* separator = i == 0 ? "" : (i + 1 == names.size() ? " or " : ", ");
        absl::StrAppend(&list, separator, "'", names[i], "'");
    }
    return list;
}

std::string suggestName(const std::string& unknown, const std::vector<std::string>& known)
{
    const std::string name = unknown.substr(0, maxComparedLength);
    const auto nearest = std::min_element(known.begin(), known.end(), [&](const std::string& a, const std::string& b) {
        return editDistance(name, a) < editDistance(name, b);
    });
    const bool isNear = nearest != known.end() && editDistance(name, *nearest) <= std::max<size_t>(2, nearest->size() / 3);
    return isNear ? absl::StrCat("did you mean '", *nearest, "'?") : absl::StrCat("use ", listOfNames(known));
}

} // namespace trefoilwing
