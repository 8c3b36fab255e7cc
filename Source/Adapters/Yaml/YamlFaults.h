#pragma once

#include "Base/Error.h"

#include <yaml-cpp/yaml.h>

#include <string>
#include <vector>

namespace trefoilwing {

/// Collects all faults of one file, so that its author can correct them all at once.
class YamlFaults {
public:
    explicit YamlFaults(std::string file);

    /// Adds the line "FILE:LINE: KEY: PROBLEM; CURE".
    /// @param node the faulty node, which gives the line.
    /// @param key the path of keys to the node, e.g. "peers[2].roles".
    void add(const YAML::Node& node, const std::string& key, const std::string& problem, const std::string& cure);
    void add(int line, const std::string& key, const std::string& problem, const std::string& cure);

    bool empty() const { return lines_.empty(); }
    const std::string& file() const { return file_; }

    /// @return one error with a line for each fault. Call it only if there are any.
    Error error() const;

private:
    std::string file_;
    std::vector<std::string> lines_;
};

/// @return the line of a node, counted from 1.
int lineOf(const YAML::Node&);

} // namespace trefoilwing
