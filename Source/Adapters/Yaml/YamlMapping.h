#pragma once

#include "Adapters/Yaml/YamlFaults.h"
#include "Adapters/Yaml/YamlSuggestion.h"
#include "Adapters/Yaml/YamlValues.h"

#include <absl/strings/str_cat.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace trefoilwing {

/// Describes one key of a mapping that is parsed into a struct.
template <typename T>
struct YamlKey {
    std::string name;
    bool isRequired = false;
    /// Parses the key's value into the struct, or adds faults.
    std::function<void(const YAML::Node&, const std::string& path, YamlFaults&, T&)> read;
};

/// The known keys of a mapping; any other key is a fault.
template <typename T>
using YamlKeys = std::vector<YamlKey<T>>;

/// A key that may be omitted; the member then keeps its default.
template <typename T, typename V>
YamlKey<T> optionalKey(std::string name, V T::*member, YamlParser<V> parse)
{
    return { std::move(name), false, [member, parse = std::move(parse)](const YAML::Node& node, const std::string& path, YamlFaults& faults, T& out) {
                if (std::optional<V> value = parse(node, path, faults))
                    out.*member = std::move(*value);
            } };
}

/// A key that the mapping must contain.
template <typename T, typename V>
YamlKey<T> requiredKey(std::string name, V T::*member, YamlParser<V> parse)
{
    YamlKey<T> key = optionalKey(std::move(name), member, std::move(parse));
    key.isRequired = true;
    return key;
}

/// Parses a mapping with the table of its keys.
/// @return the struct with all members that could be parsed; the others are reported as faults.
template <typename T>
T readMapping(const YAML::Node& node, const std::string& path, const YamlKeys<T>& keys, YamlFaults& faults)
{
    T out;
    std::vector<std::string> names;
    for (const YamlKey<T>& key : keys)
        names.push_back(key.name);
    if (!node.IsMap()) {
        faults.add(node, path, "this isn't a mapping", absl::StrCat("write 'key: value' lines with ", listOfNames(names)));
        return out;
    }
    std::map<std::string, int> linesOfKeys;
    for (const auto& pair : node) {
        const std::string name = pair.first.IsScalar() ? pair.first.Scalar() : "?";
        const std::string keyPath = path.empty() ? name : absl::StrCat(path, ".", name);
        const auto [earlier, isNew] = linesOfKeys.emplace(name, lineOf(pair.first));
        if (!isNew) {
            faults.add(pair.first, keyPath, absl::StrCat("this key is already given at line ", earlier->second), "keep one of the two");
            continue;
        }
        const auto key = std::find_if(keys.begin(), keys.end(), [&](const YamlKey<T>& k) { return k.name == name; });
        if (key == keys.end())
            faults.add(pair.first, keyPath, "this key is unknown", suggestName(name, names));
        else
            key->read(pair.second, keyPath, faults, out);
    }
    for (const YamlKey<T>& key : keys) {
        if (key.isRequired && linesOfKeys.count(key.name) == 0)
            faults.add(node, path.empty() ? key.name : absl::StrCat(path, ".", key.name), "this key is missing", "add it");
    }
    return out;
}

/// A nested mapping as a value.
template <typename T>
YamlParser<T> mappingValue(YamlKeys<T> keys)
{
    return [keys = std::move(keys)](const YAML::Node& node, const std::string& path, YamlFaults& faults) -> std::optional<T> {
        return readMapping(node, path, keys, faults);
    };
}

/// A non-empty list of mappings.
/// @param identity the member that must be unique in the list.
template <typename T, typename Id>
YamlParser<std::vector<T>> listValue(YamlKeys<T> keys, Id T::*identity)
{
    return [keys = std::move(keys), identity](const YAML::Node& node, const std::string& path, YamlFaults& faults) -> std::optional<std::vector<T>> {
        if (!node.IsSequence() || node.size() == 0) {
            faults.add(node, path, "this isn't a list with at least one item", "write each item after '- '");
            return std::nullopt;
        }
        std::vector<T> items;
        std::map<Id, int> linesOfItems;
        for (const auto& item : node) {
            const std::string itemPath = absl::StrCat(path, "[", items.size(), "]");
            items.push_back(readMapping(item, itemPath, keys, faults));
            const Id& id = items.back().*identity;
            const auto [earlier, isNew] = linesOfItems.emplace(id, lineOf(item));
            if (!isNew && !id.value().empty())
                faults.add(item, itemPath, absl::StrCat("'", id.value(), "' is already listed at line ", earlier->second), "keep one of the two or rename one");
        }
        return items;
    };
}

} // namespace trefoilwing
