#include "Ctl/EntryOptions.h"

#include "Adapters/Yaml/SettingsLoader.h"
#include "Adapters/Yaml/YamlValues.h"

#include <absl/strings/str_cat.h>

namespace trefoilwing {

std::vector<Option> entryOptions()
{
    return {
        { "entry", "ADDRESS:PORT", "a daemon's HTTP endpoint; may be given several times" },
        { "settings", "FILE", "speak to all daemons that this settings file lists" },
    };
}

Result<std::vector<Endpoint>> entryEndpoints(const CommandLine& line)
{
    std::vector<Endpoint> endpoints;
    for (const std::string& text : line.all("entry")) {
        const std::optional<Endpoint> endpoint = parseEndpoint(text);
        if (!endpoint)
            return Error { ErrorCode::Malformed, absl::StrCat("option '--entry' has '", text, "'; write an IP address and a port, such as 10.0.0.1:8080"), Verdict::NotRun };
        endpoints.push_back(*endpoint);
    }
    if (line.has("settings")) {
        const Result<DaemonSettings> settings = loadSettings(line.text("settings"));
        if (const Error* error = errorOf(settings))
            return *error;
        for (const PeerSettings& peer : valueOf(settings)->peers)
            endpoints.push_back(peer.httpEndpoint);
    }
    if (endpoints.empty())
        return Error { ErrorCode::Malformed, "no daemon is named; use --entry or --settings", Verdict::NotRun };
    return endpoints;
}

Result<std::vector<std::unique_ptr<OperatorLink>>> entryLinks(const CommandLine& line, const OperatorLinkFactory& factory)
{
    const Result<std::vector<Endpoint>> endpoints = entryEndpoints(line);
    if (const Error* error = errorOf(endpoints))
        return *error;
    std::vector<std::unique_ptr<OperatorLink>> links;
    for (const Endpoint& endpoint : *valueOf(endpoints))
        links.push_back(factory(endpoint));
    return links;
}

} // namespace trefoilwing
