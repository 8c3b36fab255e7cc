#pragma once

#include "Adapters/Yaml/YamlFaults.h"

#include <optional>
#include <string>

namespace trefoilwing {

/// Reads a whole file. A file that is missing, unreadable or too large is a fault.
std::optional<std::string> readYamlFile(const std::string& path, YamlFaults&);

/// Parses text as one YAML document. Bad syntax is a fault at its line.
std::optional<YAML::Node> parseYaml(const std::string& text, YamlFaults&);

} // namespace trefoilwing
