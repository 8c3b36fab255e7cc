#pragma once

#include "Adapters/Yaml/YamlFaults.h"

#include <optional>
#include <string>
#include <vector>

namespace trefoilwing {

/// Reads a whole file. A file that is missing, unreadable or too large is a fault.
std::optional<std::string> readYamlFile(const std::string& path, YamlFaults&);

/// Parses text as one YAML document. Bad syntax is a fault at its line.
std::optional<YAML::Node> parseYaml(const std::string& text, YamlFaults&);

/// Finds the *.yaml files of a folder, in the order of their names.
/// @param isRecursive whether to look into the folders within.
/// @return the paths; an error where there are none.
Result<std::vector<std::string>> yamlFilesIn(const std::string& folder, bool isRecursive);

/// What a YAML file is for, by its first-level keys.
enum class YamlFileKind {
    Settings,
    /// Settings of a process of a fleet.
    FleetSettings,
    Declaration,
    /// Has none of their keys, or can't be parsed.
    Unknown,
};

YamlFileKind kindOfYamlFile(const std::string& path);

} // namespace trefoilwing
