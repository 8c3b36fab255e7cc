#include "Adapters/Yaml/YamlValues.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace trefoilwing {

namespace {

    constexpr size_t maxNameLength = 64;

    struct SizeUnit {
        const char* name;
        uint64_t bytes;
    };

    // In descending order, so that formatSize() picks the largest unit that divides a size.
    constexpr std::array<SizeUnit, 4> sizeUnits { {
        { "GiB", uint64_t { 1 } << 30U },
        { "MiB", uint64_t { 1 } << 20U },
        { "KiB", uint64_t { 1 } << 10U },
        { "B", 1 },
    } };

    std::string quoted(const std::string& text)
    {
        return absl::StrCat("'", text, "'");
    }

    std::optional<std::string> scalar(const YAML::Node& node, const std::string& path, YamlFaults& faults, const std::string& cure)
    {
        if (node.IsScalar())
            return node.Scalar();
        faults.add(node, path, node.IsNull() ? "the value is missing" : "a list or mapping is given where a single value is expected", cure);
        return std::nullopt;
    }

    std::optional<Bytes> parseSize(const std::string& text)
    {
        const auto unitStart = static_cast<size_t>(std::find_if_not(text.begin(), text.end(), absl::ascii_isdigit) - text.begin());
        const std::string unitName = text.substr(unitStart);
        const auto* unit = std::find_if(sizeUnits.begin(), sizeUnits.end(), [&](const SizeUnit& u) { return unitName == u.name; });
        uint64_t amount = 0;
        if (unit == sizeUnits.end() || !absl::SimpleAtoi(text.substr(0, unitStart), &amount))
            return std::nullopt;
        if (amount > UINT64_MAX / unit->bytes)
            return std::nullopt;
        return Bytes(amount * unit->bytes);
    }

    bool isIpNumber(const std::string& address)
    {
        std::array<unsigned char, sizeof(in6_addr)> buffer {};
        return inet_pton(AF_INET, address.c_str(), buffer.data()) == 1 || inet_pton(AF_INET6, address.c_str(), buffer.data()) == 1;
    }

    bool isNameCharacter(unsigned char c)
    {
        return absl::ascii_isalnum(c) || c == '.' || c == '-' || c == '_';
    }

} // namespace

YamlParser<std::string> textValue()
{
    return [](const YAML::Node& node, const std::string& path, YamlFaults& faults) {
        return scalar(node, path, faults, "write a text");
    };
}

YamlParser<std::string> nameValue()
{
    return [](const YAML::Node& node, const std::string& path, YamlFaults& faults) -> std::optional<std::string> {
        const std::string cure = absl::StrCat("write 1 to ", maxNameLength, " letters, digits, dots, hyphens or underscores");
        std::optional<std::string> name = scalar(node, path, faults, cure);
        if (!name)
            return std::nullopt;
        if (!name->empty() && name->size() <= maxNameLength && std::all_of(name->begin(), name->end(), isNameCharacter))
            return name;
        faults.add(node, path, absl::StrCat(quoted(*name), " isn't a valid name"), cure);
        return std::nullopt;
    };
}

YamlParser<bool> flagValue()
{
    return [](const YAML::Node& node, const std::string& path, YamlFaults& faults) -> std::optional<bool> {
        const std::string cure = "write true or false";
        const std::optional<std::string> text = scalar(node, path, faults, cure);
        if (!text)
            return std::nullopt;
        if (*text == "true" || *text == "false")
            return *text == "true";
        faults.add(node, path, absl::StrCat(quoted(*text), " is neither true nor false"), cure);
        return std::nullopt;
    };
}

YamlParser<uint32_t> numberValue(uint32_t min, uint32_t max)
{
    return [min, max](const YAML::Node& node, const std::string& path, YamlFaults& faults) -> std::optional<uint32_t> {
        const std::string cure = absl::StrCat("write a whole number from ", min, " to ", max);
        const std::optional<std::string> text = scalar(node, path, faults, cure);
        if (!text)
            return std::nullopt;
        uint32_t number = 0;
        if (absl::SimpleAtoi(*text, &number) && number >= min && number <= max)
            return number;
        faults.add(node, path, absl::StrCat(quoted(*text), " isn't a whole number in range"), cure);
        return std::nullopt;
    };
}

YamlParser<double> fractionValue(double min, double max)
{
    return [min, max](const YAML::Node& node, const std::string& path, YamlFaults& faults) -> std::optional<double> {
        const std::string cure = absl::StrCat("write a number from ", min, " to ", max);
        const std::optional<std::string> text = scalar(node, path, faults, cure);
        if (!text)
            return std::nullopt;
        double number = 0;
        if (absl::SimpleAtod(*text, &number) && std::isfinite(number) && number >= min && number <= max)
            return number;
        faults.add(node, path, absl::StrCat(quoted(*text), " isn't a number in range"), cure);
        return std::nullopt;
    };
}

YamlParser<absl::Duration> durationValue(absl::Duration min, absl::Duration max)
{
    return [min, max](const YAML::Node& node, const std::string& path, YamlFaults& faults) -> std::optional<absl::Duration> {
        const std::string cure = absl::StrCat("write a duration with its unit, such as 250ms, 2s or 1h, from ", formatDuration(min), " to ", formatDuration(max));
        const std::optional<std::string> text = scalar(node, path, faults, cure);
        if (!text)
            return std::nullopt;
        absl::Duration duration;
        if (absl::ParseDuration(*text, &duration) && duration >= min && duration <= max)
            return duration;
        faults.add(node, path, absl::StrCat(quoted(*text), " isn't a duration in range"), cure);
        return std::nullopt;
    };
}

YamlParser<Bytes> sizeValue(Bytes min, Bytes max)
{
    return [min, max](const YAML::Node& node, const std::string& path, YamlFaults& faults) -> std::optional<Bytes> {
        const std::string cure = absl::StrCat("write a size with its unit (B, KiB, MiB or GiB), from ", formatSize(min), " to ", formatSize(max));
        const std::optional<std::string> text = scalar(node, path, faults, cure);
        if (!text)
            return std::nullopt;
        const std::optional<Bytes> size = parseSize(*text);
        if (size && *size >= min && *size <= max)
            return size;
        faults.add(node, path, absl::StrCat(quoted(*text), " isn't a size in range"), cure);
        return std::nullopt;
    };
}

YamlParser<Endpoint> endpointValue()
{
    return [](const YAML::Node& node, const std::string& path, YamlFaults& faults) -> std::optional<Endpoint> {
        const std::string cure = "write an IP address and a port, such as 10.0.0.1:8080";
        const std::optional<std::string> text = scalar(node, path, faults, cure);
        if (!text)
            return std::nullopt;
        std::optional<Endpoint> endpoint = parseEndpoint(*text);
        if (!endpoint)
            faults.add(node, path, absl::StrCat(quoted(*text), " isn't an IP address and a port"), cure);
        return endpoint;
    };
}

YamlParser<Resources> resourcesValue()
{
    return [](const YAML::Node& node, const std::string& path, YamlFaults& faults) -> std::optional<Resources> {
        if (!node.IsMap()) {
            faults.add(node, path, "this isn't a mapping", "write names of resources with their amounts, such as {accelerators: 1}");
            return std::nullopt;
        }
        Resources resources;
        const YamlParser<std::string> parseName = nameValue();
        const YamlParser<uint32_t> parseAmount = numberValue(1, 1000000);
        for (const auto& pair : node) {
            const std::optional<std::string> name = parseName(pair.first, path, faults);
            const std::string entryPath = absl::StrCat(path, ".", name.value_or("?"));
            const std::optional<uint32_t> amount = parseAmount(pair.second, entryPath, faults);
            if (name && amount && !resources.emplace(*name, *amount).second)
                faults.add(pair.first, entryPath, "this resource is listed twice", "keep one of the two");
        }
        return resources;
    };
}

std::string formatDuration(absl::Duration duration)
{
    return absl::FormatDuration(duration);
}

std::string formatSize(Bytes size)
{
    const auto* unit = std::find_if(sizeUnits.begin(), sizeUnits.end(), [&](const SizeUnit& u) { return size.value() != 0 && size.value() % u.bytes == 0; });
    if (unit == sizeUnits.end())
        return "0B";
    return absl::StrCat(size.value() / unit->bytes, unit->name);
}

std::string formatEndpoint(const Endpoint& endpoint)
{
    const bool isIpv6 = endpoint.address.find(':') != std::string::npos;
    return isIpv6 ? absl::StrCat("[", endpoint.address, "]:", endpoint.port) : absl::StrCat(endpoint.address, ":", endpoint.port);
}

std::optional<Endpoint> parseEndpoint(const std::string& text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    std::string address = text.substr(0, colon);
    if (address.size() > 2 && address.front() == '[' && address.back() == ']')
        address = address.substr(1, address.size() - 2);
    else if (address.find(':') != std::string::npos)
        return std::nullopt;
    uint32_t port = 0;
    if (!absl::SimpleAtoi(text.substr(colon + 1), &port) || port == 0 || port > UINT16_MAX || !isIpNumber(address))
        return std::nullopt;
    return Endpoint { std::move(address), static_cast<uint16_t>(port) };
}

} // namespace trefoilwing
