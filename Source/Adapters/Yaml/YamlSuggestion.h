#pragma once

#include <string>
#include <vector>

namespace trefoilwing {

/// @return the names as "'a', 'b' or 'c'".
std::string listOfNames(const std::vector<std::string>&);

/// @return a cure for an unknown name: the most similar known name, or all known names if none is similar.
std::string suggestName(const std::string& unknown, const std::vector<std::string>& known);

} // namespace trefoilwing
