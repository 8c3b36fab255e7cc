#pragma once

#include "Adapters/Yaml/YamlFaults.h"

#include <optional>
#include <string>
#include <vector>

namespace trefoilwing {

/// Reads a whole file. Adds a fault if the file is missing, unreadable or too large.
std::optional<std::string> readYamlFile(const std::string& path, YamlFaults&);

/// Parses text as one YAML document. Adds a fault with the line of a syntax error.
std::optional<YAML::Node> parseYaml(const std::string& text, YamlFaults&);

/// Finds the *.yaml files of a folder, sorted by name.
/// @param isRecursive whether to search subfolders too.
/// @return the paths, or an error if there are none.
Result<std::vector<std::string>> yamlFilesIn(const std::string& folder, bool isRecursive);

/// Purpose of a YAML file, recognised by its top-level keys.
enum class YamlFileKind {
    Settings,
    /// Settings of one process of a fleet.
    FleetSettings,
    Declaration,
    /// The file has none of these keys, or can't be parsed.
    Unknown,
};

YamlFileKind kindOfYamlFile(const std::string& path);

} // namespace trefoilwing
