#include "Adapters/Yaml/YamlDocument.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>

namespace trefoilwing {

namespace {

    constexpr size_t maxFileBytes = 1U << 20U;

    std::string systemReason()
    {
        return std::strerror(errno);
    }

} // namespace

std::optional<std::string> readYamlFile(const std::string& path, YamlFaults& faults)
{
    std::error_code ignored;
    if (std::filesystem::is_directory(path, ignored)) {
        faults.add(1, "", "this is a folder", "give the path of a YAML file");
        return std::nullopt;
    }
    errno = 0;
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        faults.add(1, "", absl::StrCat("the file can't be opened (", systemReason(), ")"), "check its name and its permissions");
        return std::nullopt;
    }
    std::string text(maxFileBytes + 1, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (stream.bad()) {
        faults.add(1, "", absl::StrCat("the file can't be read (", systemReason(), ")"), "check the disk and the permissions");
        return std::nullopt;
    }
    text.resize(static_cast<size_t>(stream.gcount()));
    if (text.size() > maxFileBytes) {
        faults.add(1, "", absl::StrCat("the file is larger than ", maxFileBytes, " bytes"), "split it");
        return std::nullopt;
    }
    return text;
}

std::optional<YAML::Node> parseYaml(const std::string& text, YamlFaults& faults)
{
    try {
        return YAML::Load(text);
    } catch (const YAML::ParserException& e) {
        faults.add(e.mark.line + 1, "", absl::StrCat("this isn't valid YAML (", e.msg, ")"), "correct the syntax at this line or just above it");
    } catch (const YAML::Exception& e) {
        faults.add(1, "", absl::StrCat("this isn't valid YAML (", e.what(), ")"), "correct the syntax");
    }
    return std::nullopt;
}

Result<std::vector<std::string>> yamlFilesIn(const std::string& folder, bool isRecursive)
{
    YamlFaults faults(folder);
    std::vector<std::string> files;
    const auto collect = [&files](auto entries, std::error_code& failure) {
        for (; !failure && entries != decltype(entries)(); entries.increment(failure)) {
            if (entries->path().extension() == ".yaml")
                files.push_back(entries->path().string());
        }
    };
    std::error_code failure;
    if (isRecursive)
        collect(std::filesystem::recursive_directory_iterator(folder, failure), failure);
    else
        collect(std::filesystem::directory_iterator(folder, failure), failure);
    if (failure)
        faults.add(1, "", absl::StrCat("the folder can't be read (", failure.message(), ")"), "check its name and its permissions");
    else if (files.empty())
        faults.add(1, "", "the folder contains no *.yaml file", "give the path of another folder");
    if (!faults.empty())
        return faults.error();
    std::sort(files.begin(), files.end());
    return files;
}

YamlFileKind kindOfYamlFile(const std::string& path)
{
    YamlFaults faults(path);
    const std::optional<std::string> text = readYamlFile(path, faults);
    const std::optional<YAML::Node> document = text ? parseYaml(*text, faults) : std::nullopt;
    if (!document || !document->IsMap())
        return YamlFileKind::Unknown;
    if ((*document)["service"])
        return YamlFileKind::Declaration;
    if ((*document)["node"] || (*document)["seeds"])
        return YamlFileKind::FleetSettings;
    return (*document)["daemon"] || (*document)["peers"] ? YamlFileKind::Settings : YamlFileKind::Unknown;
}

} // namespace trefoilwing
