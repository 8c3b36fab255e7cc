#include "Adapters/Yaml/YamlFaults.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>

namespace trefoilwing {

YamlFaults::YamlFaults(std::string file)
    : file_(std::move(file))
{
}

void YamlFaults::add(const YAML::Node& node, const std::string& key, const std::string& problem, const std::string& cure)
{
    add(lineOf(node), key, problem, cure);
}

void YamlFaults::add(int line, const std::string& key, const std::string& problem, const std::string& cure)
{
    lines_.push_back(absl::StrCat(file_, ":", line, ": ", key.empty() ? "" : absl::StrCat(key, ": "), problem, "; ", cure));
}

Error YamlFaults::error() const
{
    return { ErrorCode::Malformed, absl::StrJoin(lines_, "\n"), Verdict::NotRun };
}

int lineOf(const YAML::Node& node)
{
    // The node of an empty document has no position; its line is -1.
    return std::max(node.Mark().line + 1, 1);
}

} // namespace trefoilwing
