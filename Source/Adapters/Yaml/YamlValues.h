#pragma once

#include "Adapters/Yaml/YamlFaults.h"
#include "Model/MinionMessages.h"
#include "Model/Units.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace trefoilwing {

/// Parses one node into a value, or adds a fault and returns nothing.
template <typename V>
using YamlParser = std::function<std::optional<V>(const YAML::Node&, const std::string& path, YamlFaults&)>;

/// Any text, including the empty one.
YamlParser<std::string> textValue();
/// A name of letters, digits, dots, hyphens and underscores.
YamlParser<std::string> nameValue();
/// "true" or "false".
YamlParser<bool> flagValue();
/// A whole number in [min, max].
YamlParser<uint32_t> numberValue(uint32_t min, uint32_t max);
/// A number in [min, max].
YamlParser<double> fractionValue(double min, double max);
/// A duration with its unit, e.g. "250ms", in [min, max].
YamlParser<absl::Duration> durationValue(absl::Duration min, absl::Duration max);
/// A size with its unit, e.g. "64KiB", in [min, max].
YamlParser<Bytes> sizeValue(Bytes min, Bytes max);
/// An IP address and a port, e.g. "10.0.0.1:8080" or "[fe80::1]:8080".
YamlParser<Endpoint> endpointValue();
/// A mapping from names of resources to amounts.
YamlParser<Resources> resourcesValue();

/// A name, converted to a strongly typed id.
template <typename Id>
YamlParser<Id> idValue()
{
    return [parse = nameValue()](const YAML::Node& node, const std::string& path, YamlFaults& faults) -> std::optional<Id> {
        std::optional<std::string> name = parse(node, path, faults);
        if (!name)
            return std::nullopt;
        return Id(std::move(*name));
    };
}

/// @return the duration in the notation that durationValue() parses.
std::string formatDuration(absl::Duration);
/// @return the size in the notation that sizeValue() parses.
std::string formatSize(Bytes);
/// @return the endpoint in the notation that endpointValue() parses.
std::string formatEndpoint(const Endpoint&);
/// @return the endpoint in a text such as "10.0.0.1:8080", or nothing if the text isn't one.
std::optional<Endpoint> parseEndpoint(const std::string&);

} // namespace trefoilwing
